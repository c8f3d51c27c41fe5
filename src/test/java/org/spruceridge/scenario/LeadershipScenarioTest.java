package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Response;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/** What may go wrong with the nodes, their elections and the state service, and what must still hold. */
final class LeadershipScenarioTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    @Test
    void leaderCrashBetweenCommitAndCommandStartsTaskOnce() {
        cluster.awaitLeader(10);
        // The binding is committed, but its leader dies before it hears of that.
        cluster.net.injectFaults(
                (from, to, call) -> call.target().equals("/txn") && new String(call.body()).contains("bound/")
                        ? Delivery.ANSWER_LOST
                        : Delivery.DELIVERED);
        cluster.submit(SimulatedCluster.job(1, 1));
        cluster.await(() -> !cluster.cloud.workers().isEmpty(), 30);
        String first = cluster.leader();
        cluster.await(() -> cluster.hasBinding("j-000001"), 30);
        assertTrue(cluster.starts().isEmpty(), "the start must come after the commit");
        cluster.crash(first);
        cluster.net.clearFaults();
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(1, cluster.starts().size());
    }

    /** Before that it could only turn workers away, and those would flood it while it finds out. */
    @Test
    void startingNodeIsReadyOnceItKnowsTheLeader() {
        cluster.awaitLeader(10);
        cluster.await(() -> List.of("n0", "n1", "n2").stream().allMatch(cluster::isReady), 5);
        List.of("n0", "n1", "n2").forEach(cluster::crash);
        cluster.state.outage(8);
        cluster.startNode("n1");
        cluster.loop.run(7);
        assertFalse(cluster.isReady("n1"), "without state service and peers it knows no leader");
        cluster.await(() -> cluster.isReady("n1"), 20);
    }

    @Test
    void lateTransactionOfDeposedLeaderChangesNothing() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 200.0));
        cluster.await(() -> !cluster.cloud.workers().isEmpty(), 30);
        String old = cluster.leader();
        // The old leader's writes get stuck in the network; then it loses the state service altogether.
        cluster.net.injectFaults((from, to, call) ->
                from.equals(old) && call.target().equals("/txn") ? Delivery.HELD : Delivery.DELIVERED);
        cluster.await(() -> cluster.net.heldCount() > 0, 30);
        cluster.net.injectFaults((from, to, call) ->
                from.equals(old) && to.host().startsWith("10.2.0.1") ? Delivery.LOST : Delivery.DELIVERED);
        cluster.await(() -> cluster.leader() != null && !cluster.leader().equals(old), 30);
        cluster.await(() -> cluster.running().size() == 2, 60);
        JsonNode leader = cluster.state.value("leader");
        List<BindingsRecord.MachineBindings> machines = cluster.recordedBindings();
        cluster.net.deliverHeld();
        cluster.loop.run(0.1);
        assertEquals(leader, cluster.state.value("leader"));
        assertEquals(machines, cluster.recordedBindings());
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 300);
        assertEquals(2, cluster.starts().size());
    }

    @Test
    void leaderThatLosesStateServiceStopsAnsweringWorkers() {
        cluster.awaitLeader(10);
        String old = cluster.leader();
        cluster.net.injectFaults((from, to, call) ->
                from.equals(old) && to.host().startsWith("10.2.0.1") ? Delivery.LOST : Delivery.DELIVERED);
        cluster.await(() -> cluster.leader() != null && !cluster.leader().equals(old), 30);
        Response answer = cluster.request(old, "POST", "/hello", SimulatedCluster.heartbeat("i-000099", 7));
        assertNotEquals(200, answer.status());
    }

    @Test
    void failoverWaitsForLeaseOfSilentWorker() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 1).put("expectS", 25.0));
        cluster.await(() -> cluster.running().size() == 1, 30);
        SimWorker worker = cluster.cloud.workers().get(0);
        // Its task goes on while nobody can hear it, nor reach the cloud, and the leader dies.
        cluster.net.injectFaults((from, to, call) ->
                from.equals(worker.name()) || to.host().equals("10.2.0.2") ? Delivery.LOST : Delivery.DELIVERED);
        cluster.crash(cluster.leader());
        cluster.awaitLeader(30);
        cluster.loop.run(4);
        assertEquals(1, cluster.running().size(), "the silent worker still runs the task");
        assertEquals(1, cluster.starts().size());
        cluster.net.clearFaults();
        cluster.net.injectFaults((from, to, call) -> from.equals(worker.name()) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 120);
        assertEquals(2, cluster.starts().size());
    }

    @Test
    void quotaHoldsInFailoverWithSilentWorkers() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 4).put("expectS", 30.0));
        cluster.await(() -> cluster.running().size() == 4, 40); // the team's limit
        cluster.net.injectFaults((from, to, call) ->
                from.startsWith("i-") || to.host().equals("10.2.0.2") ? Delivery.LOST : Delivery.DELIVERED);
        cluster.crash(cluster.leader());
        cluster.submit(SimulatedCluster.job(2, 4).put("expectS", 30.0));
        cluster.awaitLeader(30);
        cluster.loop.run(5);
        cluster.net.clearFaults();
        cluster.loop.run(200);
        // The simulated cluster counts the limit at every start.
        assertEquals(8, cluster.completed().size());
    }

    @Test
    void stateServiceOutageLosesNoTask() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 30.0));
        cluster.await(() -> cluster.running().size() == 2, 40);
        cluster.state.outage(8);
        assertEquals("503", cluster.poll("j-000001"));
        assertEquals(
                503,
                cluster.request("n0", "POST", "/api/jobs", SimulatedCluster.job(2, 1))
                        .status());
        cluster.loop.run(10);
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(2, cluster.starts().size(), "an outage shorter than a lease costs no task");
    }

    @Test
    void crashOfAllNodesLosesNoTask() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 4).put("expectS", 20.0));
        cluster.await(() -> cluster.running().size() == 4, 40);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.crash(node);
        }
        assertNull(cluster.leader());
        cluster.loop.run(3);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.startNode(node);
        }
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(4, cluster.starts().size());
    }

    @Test
    void leaderUnreachableByWorkersStepsDown() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 40.0));
        cluster.await(() -> cluster.running().size() == 2, 40);
        String old = cluster.leader();
        cluster.net.injectFaults((from, to, call) -> {
            boolean in = from.startsWith("i-") && to.equals(SimulatedCluster.address(old));
            boolean out = from.equals(old) && call.target().equals("/do");
            return in || out ? Delivery.LOST : Delivery.DELIVERED;
        });
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 90);
        assertNotEquals(old, cluster.leader());
        assertEquals(2, cluster.starts().size(), "another leader answered before any lease ran out");
    }

    @Test
    void nodesStartedDuringCloudOutageAcceptAndPlaceJobs() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 1));
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 60);
        cluster.net.injectFaults((from, to, call) -> to.host().equals("10.2.0.2") ? Delivery.LOST : Delivery.DELIVERED);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.crash(node);
        }
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.startNode(node);
        }
        cluster.loop.run(5);
        assertEquals(201, cluster.submit(SimulatedCluster.job(2, 1)));
        cluster.await(() -> cluster.poll("j-000002").equals("done"), 60);
    }

    @Test
    void runningNodeReplacesRestartedLeaderImmediately() {
        cluster.awaitLeader(10);
        String leader = cluster.leader();
        // Even if the others are slower to hear of it.
        cluster.net.injectFaults((from, to, call) -> from.equals(leader) ? Delivery.DELIVERED : Delivery.SLOW);
        cluster.crash(leader);
        cluster.startNode(leader);
        cluster.loop.run(0.8);
        assertNotNull(cluster.leader());
        assertNotEquals(leader, cluster.leader());
    }

    @Test
    void restartedLeaderIsReelectedIfNoOtherNodeRuns() {
        cluster.awaitLeader(10);
        String leader = cluster.leader();
        List.of("n0", "n1", "n2").forEach(cluster::crash);
        cluster.startNode(leader);
        cluster.loop.run(SimulatedCluster.LEASE_S / 4);
        assertEquals(leader, cluster.leader(), "long before the grant of its former life ends");
    }

    @Test
    void newLeaderGivesWorkersOneLeaseToFindIt() {
        cluster.awaitLeader(10);
        // One task fills the memory of a machine, so that most of the zone's four are heard.
        cluster.submit(
                SimulatedCluster.job(1, 4).put("memGb", 20.0).put("grove", "z1").put("expectS", 40.0));
        cluster.await(() -> cluster.running().size() == 4, 40);
        int rented = cluster.cloud.machineCount();
        SimWorker slow = cluster.cloud.workers().get(0);
        cluster.net.injectFaults(
                (from, to, call) -> from.equals(slow.name()) || to.host().equals("10.1.0." + slow.name())
                        ? Delivery.LOST
                        : Delivery.DELIVERED);
        cluster.crashLeader(0.1);
        cluster.loop.run(SimulatedCluster.LEASE_S * 0.75);
        assertNotNull(cluster.leader());
        assertEquals(rented, cluster.cloud.machineCount(), "it is still looking for its leader, as all workers are");
        cluster.net.clearFaults();
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(4, cluster.starts().size());
    }

    @Test
    void followerRedirectsHeartbeatsWithoutParsingThem() {
        cluster.awaitLeader(10);
        cluster.loop.run(1);
        byte[] unreadable = {'?'};
        assertEquals(
                421,
                cluster.request(cluster.follower(), "POST", "/hello", unreadable)
                        .status());
        assertEquals(
                400,
                cluster.request(cluster.leader(), "POST", "/hello", unreadable).status());
    }

    @Test
    void nodeWithoutStateServiceAndPeersRedirectsNoWorker() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 60.0));
        cluster.await(() -> cluster.running().size() == 2, 40);
        String old = cluster.leader();
        String isolated = cluster.follower();
        cluster.isolateFromPeers(isolated);
        cluster.net.injectFaults((from, to, call) ->
                from.equals(isolated) && to.host().startsWith("10.2.0.1") ? Delivery.LOST : Delivery.DELIVERED);
        cluster.loop.run(26); // past the end of its last watch
        cluster.crash(old);
        cluster.awaitLeader(30);
        assertNotEquals(isolated, cluster.leader());
        cluster.loop.run(4); // a watch from before the cut was still answered
        Response answer = cluster.request(isolated, "POST", "/hello", SimulatedCluster.heartbeat("i-000099", 7));
        assertEquals(503, answer.status(), "it must not send workers to a leader of which it has no fresh word");
        assertEquals(
                503,
                cluster.request(isolated, "GET", "/healthz", (JsonNode) null).status());
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(2, cluster.starts().size(), "no lease ran out");
    }

    @Test
    void leaderThatLosesStateServiceAndPeersReleasesItsWorkers() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 60.0));
        cluster.await(() -> cluster.running().size() == 2, 40);
        String isolated = cluster.leader();
        cluster.isolateFromPeers(isolated);
        cluster.net.injectFaults((from, to, call) ->
                from.equals(isolated) && to.host().startsWith("10.2.0.1") ? Delivery.LOST : Delivery.DELIVERED);
        cluster.await(() -> cluster.leader() != null && !cluster.leader().equals(isolated), 30);
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(2, cluster.starts().size(), "no lease ran out");
    }

    @Test
    void restartedNodeLeadsDespiteLateElectionOfItsFormerIncarnation() {
        SimulatedCluster late = new SimulatedCluster(1);
        late.net.injectFaults((from, to, call) -> call.target().equals("/txn") ? Delivery.HELD : Delivery.DELIVERED);
        while (late.net.heldCount() == 0) {
            late.loop.run(0.01);
        }
        late.crash("n0");
        late.loop.run(0.05);
        late.startNode("n0");
        late.loop.run(0.3);
        late.net.clearFaults();
        late.net.deliverHeld();
        late.loop.run(5);
        assertEquals("n0", late.leader());
        late.submit(SimulatedCluster.job(1, 1));
        late.loop.run(40);
        assertEquals("done", late.poll("j-000001"));
        assertEquals(1, late.starts().size());
    }

    @Test
    void everyJobIsKnownAndCompletesAfterFaultsEnd() {
        cluster.awaitLeader(10);
        for (int i = 1; i <= 4; i++) {
            cluster.submit(SimulatedCluster.job(i, 2).put("expectS", 10.0));
        }
        cluster.await(() -> cluster.running().size() == 4, 40);
        // An outage, in the midst of which all nodes die; then each node in turn loses the state service.
        cluster.state.outage(20);
        cluster.loop.run(5);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.crash(node);
        }
        cluster.loop.run(3);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.startNode(node);
        }
        cluster.loop.run(15);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.net.injectFaults((from, to, call) ->
                    from.equals(node) && to.host().startsWith("10.2.0.1") ? Delivery.LOST : Delivery.DELIVERED);
            cluster.loop.run(10);
        }
        cluster.net.clearFaults();
        cluster.loop.run(5);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            assertEquals(
                    200,
                    cluster.request(node, "GET", "/healthz", (JsonNode) null).status());
            for (int i = 1; i <= 4; i++) {
                String id = String.format("j-%06d", i);
                assertEquals(
                        200,
                        cluster.request(node, "GET", "/api/jobs/" + id, (JsonNode) null)
                                .status());
            }
        }
        cluster.await(() -> cluster.completed().size() == 8, 120);
    }

    @Test
    void leaderPausedForLongerThanALeaseIsReplaced() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 60.0));
        cluster.await(() -> cluster.running().size() == 2, 40);
        String old = cluster.leader();
        // A job is accepted, and its binding is about to be written, at the moment at which the leader stops.
        cluster.submit(SimulatedCluster.job(2, 1).put("expectS", 5.0));
        cluster.pause(old, 2 * SimulatedCluster.LEASE_S);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        assertNotEquals(old, cluster.leader());
        Response answer = cluster.request(cluster.leader(), "POST", "/api/jobs/j-000002/abort", (JsonNode) null);
        String outcome = SimulatedCluster.stage(answer);
        int deletionRequests = cluster.cloud.deletionRequests();
        cluster.loop.run(SimulatedCluster.LEASE_S + 1);
        assertNotEquals(old, cluster.leader(), "what it knew before it stopped counts no more");
        assertEquals(deletionRequests, cluster.cloud.deletionRequests(), "silence that was its own is not believed");
        assertEquals(
                outcome, SimulatedCluster.stage(cluster.request(old, "GET", "/api/jobs/j-000002", (JsonNode) null)));
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(
                2,
                cluster.starts().stream()
                        .filter(start -> start.startsWith("j-000001"))
                        .count(),
                "no lease ran out");
    }

    @Test
    void leaderWithExpiredLeaseDeletesNoMachineOfItsSuccessor() {
        cluster.awaitLeader(10);
        String old = cluster.leader();
        boolean[] requested = new boolean[1];
        boolean[] requestedWithoutLease = new boolean[1];
        cluster.net.injectFaults((from, to, call) -> {
            boolean returns = from.equals(old) && call.target().equals("/hosts/delete");
            requested[0] |= returns;
            requestedWithoutLease[0] |= returns && !old.equals(cluster.leader());
            boolean watch = call.target().startsWith("/follow?starts=leader");
            boolean isolated =
                    from.equals(old) && (watch || requested[0] && to.host().equals("10.2.0.1"));
            return returns || isolated ? Delivery.LOST : Delivery.DELIVERED;
        });
        cluster.submit(SimulatedCluster.job(1, 1));
        cluster.await(() -> requested[0], 120); // and it will ask again, as no answer comes
        cluster.await(() -> cluster.leader() != null && !cluster.leader().equals(old), 30);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        assertFalse(requestedWithoutLease[0]);
    }

    @Test
    void leaderPausedForLessThanALeaseKeepsLeading() {
        cluster.awaitLeader(10);
        cluster.submit(SimulatedCluster.job(1, 4).put("expectS", 60.0));
        cluster.await(() -> cluster.running().size() == 4, 40);
        String leader = cluster.leader();
        int deletionRequests = cluster.cloud.deletionRequests();
        cluster.pause(leader, SimulatedCluster.LEASE_S * 0.4);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        assertEquals(leader, cluster.leader());
        assertEquals(deletionRequests, cluster.cloud.deletionRequests(), "silence that was its own is not believed");
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(4, cluster.starts().size());
    }

    @Test
    void nodePausedInElectionOrFailoverDoesNotLeadAfterwards() {
        for (int step = 0; step < 12; step++) {
            SimulatedCluster fresh = new SimulatedCluster(2);
            fresh.loop.run(0.0004 * step * step); // somewhere between its first request and the end of its failover
            fresh.pause("n1", 3 * SimulatedCluster.LEASE_S);
            fresh.pause("n0", 0.5);
            fresh.loop.run(10);
            assertEquals("n0", fresh.leader(), "step " + step);
            fresh.submit(SimulatedCluster.job(1, 1).put("expectS", 60.0));
            fresh.loop.run(3 * SimulatedCluster.LEASE_S);
            assertEquals("n0", fresh.leader(), "step " + step);
            fresh.loop.run(60);
            assertEquals("done", fresh.poll("j-000001"));
            assertEquals(1, fresh.starts().size());
        }
    }
}
