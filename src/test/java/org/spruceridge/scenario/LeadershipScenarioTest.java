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
import org.spruceridge.sim.SimNet.Fate;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/** What may go wrong with the nodes, their elections and the state service, and what must still hold. */
final class LeadershipScenarioTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    @Test
    void leaderCrashBetweenCommitAndCommandStartsTaskOnce() {
        cluster.until(() -> cluster.leader() != null, 10);
        // The binding is committed, but its leader dies before it hears of that.
        cluster.net.weather(
                (from, to, call) -> call.target().equals("/txn") && new String(call.body()).contains("bound/")
                        ? Fate.ANSWER_LOST
                        : Fate.DELIVERED);
        cluster.submit(SimulatedCluster.job(1, 1));
        cluster.until(() -> !cluster.cloud.workers().isEmpty(), 30);
        String first = cluster.leader();
        cluster.until(() -> cluster.bound("j-000001"), 30);
        assertTrue(cluster.starts().isEmpty(), "the start must come after the commit");
        cluster.crash(first);
        cluster.net.clear();
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(1, cluster.starts().size());
    }

    /** Before that it could only turn workers away, and those would flood it while it finds out. */
    @Test
    void startingNodeIsReadyOnceItKnowsTheLeader() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.until(() -> List.of("n0", "n1", "n2").stream().allMatch(cluster::ready), 5);
        List.of("n0", "n1", "n2").forEach(cluster::crash);
        cluster.state.outage(8);
        cluster.boot("n1");
        cluster.loop.run(7);
        assertFalse(cluster.ready("n1"), "without state service and peers it knows no leader");
        cluster.until(() -> cluster.ready("n1"), 20);
    }

    @Test
    void lateTransactionOfDeposedLeaderChangesNothing() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 200.0));
        cluster.until(() -> !cluster.cloud.workers().isEmpty(), 30);
        String old = cluster.leader();
        // The old leader's writes get stuck in the network; then it loses the state service altogether.
        cluster.net.weather(
                (from, to, call) -> from.equals(old) && call.target().equals("/txn") ? Fate.HELD : Fate.DELIVERED);
        cluster.until(() -> cluster.net.held() > 0, 30);
        cluster.net.weather(
                (from, to, call) -> from.equals(old) && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
        cluster.until(() -> cluster.leader() != null && !cluster.leader().equals(old), 30);
        cluster.until(() -> cluster.running().size() == 2, 60);
        JsonNode leader = cluster.state.value("leader");
        List<BindingsRecord.MachineBindings> machines = cluster.recorded();
        cluster.net.letGo();
        cluster.loop.run(0.1);
        assertEquals(leader, cluster.state.value("leader"));
        assertEquals(machines, cluster.recorded());
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 300);
        assertEquals(2, cluster.starts().size());
    }

    @Test
    void leaderThatLosesStateServiceStopsAnsweringWorkers() {
        cluster.until(() -> cluster.leader() != null, 10);
        String old = cluster.leader();
        cluster.net.weather(
                (from, to, call) -> from.equals(old) && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
        cluster.until(() -> cluster.leader() != null && !cluster.leader().equals(old), 30);
        Response answer = cluster.ask(old, "POST", "/hello", SimulatedCluster.heartbeat("i-000099", 7));
        assertNotEquals(200, answer.status());
    }

    @Test
    void failoverWaitsForLeaseOfSilentWorker() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 1).put("expectS", 25.0));
        cluster.until(() -> cluster.running().size() == 1, 30);
        SimWorker worker = cluster.cloud.workers().get(0);
        // Its task goes on while nobody can hear it, nor reach the cloud, and the leader dies.
        cluster.net.weather((from, to, call) ->
                from.equals(worker.name()) || to.host().equals("10.2.0.2") ? Fate.LOST : Fate.DELIVERED);
        cluster.crash(cluster.leader());
        cluster.until(() -> cluster.leader() != null, 30);
        cluster.loop.run(4);
        assertEquals(1, cluster.running().size(), "the silent worker still runs the task");
        assertEquals(1, cluster.starts().size());
        cluster.net.clear();
        cluster.net.weather((from, to, call) -> from.equals(worker.name()) ? Fate.LOST : Fate.DELIVERED);
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 120);
        assertEquals(2, cluster.starts().size());
    }

    @Test
    void quotaHoldsInFailoverWithSilentWorkers() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 4).put("expectS", 30.0));
        cluster.until(() -> cluster.running().size() == 4, 40); // the team's limit
        cluster.net.weather(
                (from, to, call) -> from.startsWith("i-") || to.host().equals("10.2.0.2") ? Fate.LOST : Fate.DELIVERED);
        cluster.crash(cluster.leader());
        cluster.submit(SimulatedCluster.job(2, 4).put("expectS", 30.0));
        cluster.until(() -> cluster.leader() != null, 30);
        cluster.loop.run(5);
        cluster.net.clear();
        cluster.loop.run(200);
        // The simulated cluster counts the limit at every start.
        assertEquals(8, cluster.completed().size());
    }

    @Test
    void stateServiceOutageLosesNoTask() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 30.0));
        cluster.until(() -> cluster.running().size() == 2, 40);
        cluster.state.outage(8);
        assertEquals("503", cluster.poll("j-000001"));
        assertEquals(
                503,
                cluster.ask("n0", "POST", "/api/jobs", SimulatedCluster.job(2, 1))
                        .status());
        cluster.loop.run(10);
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(2, cluster.starts().size(), "an outage shorter than a lease costs no task");
    }

    @Test
    void crashOfAllNodesLosesNoTask() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 4).put("expectS", 20.0));
        cluster.until(() -> cluster.running().size() == 4, 40);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.crash(node);
        }
        assertNull(cluster.leader());
        cluster.loop.run(3);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.boot(node);
        }
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(4, cluster.starts().size());
    }

    @Test
    void leaderUnreachableByWorkersStepsDown() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 40.0));
        cluster.until(() -> cluster.running().size() == 2, 40);
        String old = cluster.leader();
        cluster.net.weather((from, to, call) -> {
            boolean in = from.startsWith("i-") && to.equals(SimulatedCluster.address(old));
            boolean out = from.equals(old) && call.target().equals("/do");
            return in || out ? Fate.LOST : Fate.DELIVERED;
        });
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 90);
        assertNotEquals(old, cluster.leader());
        assertEquals(2, cluster.starts().size(), "another leader answered before any lease ran out");
    }

    @Test
    void nodesStartedDuringCloudOutageAcceptAndPlaceJobs() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 1));
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 60);
        cluster.net.weather((from, to, call) -> to.host().equals("10.2.0.2") ? Fate.LOST : Fate.DELIVERED);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.crash(node);
        }
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.boot(node);
        }
        cluster.loop.run(5);
        assertEquals(201, cluster.submit(SimulatedCluster.job(2, 1)));
        cluster.until(() -> cluster.poll("j-000002").equals("done"), 60);
    }

    @Test
    void runningNodeReplacesRestartedLeaderImmediately() {
        cluster.until(() -> cluster.leader() != null, 10);
        String leader = cluster.leader();
        // Even if the others are slower to hear of it.
        cluster.net.weather((from, to, call) -> from.equals(leader) ? Fate.DELIVERED : Fate.SLOW);
        cluster.crash(leader);
        cluster.boot(leader);
        cluster.loop.run(0.8);
        assertNotNull(cluster.leader());
        assertNotEquals(leader, cluster.leader());
    }

    @Test
    void restartedLeaderIsReelectedIfNoOtherNodeRuns() {
        cluster.until(() -> cluster.leader() != null, 10);
        String leader = cluster.leader();
        List.of("n0", "n1", "n2").forEach(cluster::crash);
        cluster.boot(leader);
        cluster.loop.run(SimulatedCluster.LEASE_S / 4);
        assertEquals(leader, cluster.leader(), "long before the grant of its former life ends");
    }

    @Test
    void newLeaderGivesWorkersOneLeaseToFindIt() {
        cluster.until(() -> cluster.leader() != null, 10);
        // One task fills the memory of a machine, so that most of the zone's four are heard.
        cluster.submit(
                SimulatedCluster.job(1, 4).put("memGb", 20.0).put("grove", "z1").put("expectS", 40.0));
        cluster.until(() -> cluster.running().size() == 4, 40);
        int rented = cluster.cloud.rented();
        SimWorker slow = cluster.cloud.workers().get(0);
        cluster.net.weather((from, to, call) ->
                from.equals(slow.name()) || to.host().equals("10.1.0." + slow.name()) ? Fate.LOST : Fate.DELIVERED);
        cluster.crashLeader(0.1);
        cluster.loop.run(SimulatedCluster.LEASE_S * 0.75);
        assertNotNull(cluster.leader());
        assertEquals(rented, cluster.cloud.rented(), "it is still looking for its leader, as all workers are");
        cluster.net.clear();
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(4, cluster.starts().size());
    }

    @Test
    void followerRedirectsHeartbeatsWithoutParsingThem() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.loop.run(1);
        byte[] unreadable = {'?'};
        assertEquals(
                421,
                cluster.ask(cluster.follower(), "POST", "/hello", unreadable).status());
        assertEquals(
                400, cluster.ask(cluster.leader(), "POST", "/hello", unreadable).status());
    }

    @Test
    void nodeWithoutStateServiceAndPeersRedirectsNoWorker() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 60.0));
        cluster.until(() -> cluster.running().size() == 2, 40);
        String old = cluster.leader();
        String cut = cluster.follower();
        cluster.cutPeers(cut);
        cluster.net.weather(
                (from, to, call) -> from.equals(cut) && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
        cluster.loop.run(26); // past the end of its last watch
        cluster.crash(old);
        cluster.until(() -> cluster.leader() != null, 30);
        assertNotEquals(cut, cluster.leader());
        cluster.loop.run(4); // a watch from before the cut was still answered
        Response answer = cluster.ask(cut, "POST", "/hello", SimulatedCluster.heartbeat("i-000099", 7));
        assertEquals(503, answer.status(), "it must not send workers to a leader of which it has no fresh word");
        assertEquals(503, cluster.ask(cut, "GET", "/healthz", (JsonNode) null).status());
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(2, cluster.starts().size(), "no lease ran out");
    }

    @Test
    void leaderThatLosesStateServiceAndPeersReleasesItsWorkers() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 60.0));
        cluster.until(() -> cluster.running().size() == 2, 40);
        String cut = cluster.leader();
        cluster.cutPeers(cut);
        cluster.net.weather(
                (from, to, call) -> from.equals(cut) && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
        cluster.until(() -> cluster.leader() != null && !cluster.leader().equals(cut), 30);
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(2, cluster.starts().size(), "no lease ran out");
    }

    @Test
    void restartedNodeLeadsDespiteLateElectionOfItsFormerIncarnation() {
        SimulatedCluster late = new SimulatedCluster(1);
        late.net.weather((from, to, call) -> call.target().equals("/txn") ? Fate.HELD : Fate.DELIVERED);
        while (late.net.held() == 0) {
            late.loop.run(0.01);
        }
        late.crash("n0");
        late.loop.run(0.05);
        late.boot("n0");
        late.loop.run(0.3);
        late.net.clear();
        late.net.letGo();
        late.loop.run(5);
        assertEquals("n0", late.leader());
        late.submit(SimulatedCluster.job(1, 1));
        late.loop.run(40);
        assertEquals("done", late.poll("j-000001"));
        assertEquals(1, late.starts().size());
    }

    @Test
    void everyJobIsKnownAndCompletesAfterFaultsEnd() {
        cluster.until(() -> cluster.leader() != null, 10);
        for (int i = 1; i <= 4; i++) {
            cluster.submit(SimulatedCluster.job(i, 2).put("expectS", 10.0));
        }
        cluster.until(() -> cluster.running().size() == 4, 40);
        // An outage, in the midst of which all nodes die; then each node in turn loses the state service.
        cluster.state.outage(20);
        cluster.loop.run(5);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.crash(node);
        }
        cluster.loop.run(3);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.boot(node);
        }
        cluster.loop.run(15);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.net.weather((from, to, call) ->
                    from.equals(node) && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
            cluster.loop.run(10);
        }
        cluster.net.clear();
        cluster.loop.run(5);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            assertEquals(
                    200, cluster.ask(node, "GET", "/healthz", (JsonNode) null).status());
            for (int i = 1; i <= 4; i++) {
                String id = String.format("j-%06d", i);
                assertEquals(
                        200,
                        cluster.ask(node, "GET", "/api/jobs/" + id, (JsonNode) null)
                                .status());
            }
        }
        cluster.until(() -> cluster.completed().size() == 8, 120);
    }

    @Test
    void leaderPausedForLongerThanALeaseIsReplaced() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 60.0));
        cluster.until(() -> cluster.running().size() == 2, 40);
        String old = cluster.leader();
        // A job is accepted, and its binding is about to be written, at the moment at which the leader stops.
        cluster.submit(SimulatedCluster.job(2, 1).put("expectS", 5.0));
        cluster.standStill(old, 2 * SimulatedCluster.LEASE_S);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        assertNotEquals(old, cluster.leader());
        Response answer = cluster.ask(cluster.leader(), "POST", "/api/jobs/j-000002/abort", (JsonNode) null);
        String said = SimulatedCluster.stage(answer);
        int deletions = cluster.cloud.deletions();
        cluster.loop.run(SimulatedCluster.LEASE_S + 1);
        assertNotEquals(old, cluster.leader(), "what it knew before it stopped counts no more");
        assertEquals(deletions, cluster.cloud.deletions(), "silence that was its own is not believed");
        assertEquals(said, SimulatedCluster.stage(cluster.ask(old, "GET", "/api/jobs/j-000002", (JsonNode) null)));
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(
                2,
                cluster.starts().stream()
                        .filter(start -> start.startsWith("j-000001"))
                        .count(),
                "no lease ran out");
    }

    @Test
    void leaderWithExpiredLeaseDeletesNoMachineOfItsSuccessor() {
        cluster.until(() -> cluster.leader() != null, 10);
        String old = cluster.leader();
        boolean[] asked = new boolean[1];
        boolean[] askedWithoutGrant = new boolean[1];
        cluster.net.weather((from, to, call) -> {
            boolean returns = from.equals(old) && call.target().equals("/hosts/delete");
            asked[0] |= returns;
            askedWithoutGrant[0] |= returns && !old.equals(cluster.leader());
            boolean watch = call.target().startsWith("/follow?starts=leader");
            boolean cut = from.equals(old) && (watch || asked[0] && to.host().equals("10.2.0.1"));
            return returns || cut ? Fate.LOST : Fate.DELIVERED;
        });
        cluster.submit(SimulatedCluster.job(1, 1));
        cluster.until(() -> asked[0], 120); // and it will ask again, as no answer comes
        cluster.until(() -> cluster.leader() != null && !cluster.leader().equals(old), 30);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        assertFalse(askedWithoutGrant[0]);
    }

    @Test
    void leaderPausedForLessThanALeaseKeepsLeading() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 4).put("expectS", 60.0));
        cluster.until(() -> cluster.running().size() == 4, 40);
        String leader = cluster.leader();
        int deletions = cluster.cloud.deletions();
        cluster.standStill(leader, SimulatedCluster.LEASE_S * 0.4);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        assertEquals(leader, cluster.leader());
        assertEquals(deletions, cluster.cloud.deletions(), "silence that was its own is not believed");
        cluster.until(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(4, cluster.starts().size());
    }

    @Test
    void nodePausedInElectionOrFailoverDoesNotLeadAfterwards() {
        for (int step = 0; step < 12; step++) {
            SimulatedCluster fresh = new SimulatedCluster(2);
            fresh.loop.run(0.0004 * step * step); // somewhere between its first request and the end of its failover
            fresh.standStill("n1", 3 * SimulatedCluster.LEASE_S);
            fresh.standStill("n0", 0.5);
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
