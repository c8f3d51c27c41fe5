package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Response;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimulatedCluster;

/** Faults of nodes, elections and the state service, and the guarantees that must hold despite these faults. */
final class LeadershipScenarioTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    /**
     * A node that knows no leader can only reject workers, and their retries would overload the node during start-up.
     * The node is therefore not ready until it knows the leader.
     */
    @Test
    void startingNodeIsReadyOnceItKnowsLeader() {
        cluster.awaitLeader(10);
        cluster.await(() -> List.of("n0", "n1", "n2").stream().allMatch(cluster.nodes::isReady), 5);
        List.of("n0", "n1", "n2").forEach(cluster.nodes::crash);
        cluster.state.startOutage(8);
        cluster.nodes.start("n1");
        cluster.loop.run(7);
        assertFalse(
                cluster.nodes.isReady("n1"),
                "n1 must not be ready while it reaches neither the state service nor a peer");
        cluster.await(() -> cluster.nodes.isReady("n1"), 20);
    }

    @Test
    void lateTransactionOfDeposedLeaderChangesNothing() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 2).put("expectS", 200.0));
        cluster.await(() -> !cluster.cloud.workers().isEmpty(), 30);
        String oldLeader = cluster.leader();
        // The network holds the old leader's writes. Then the old leader loses all access to the state service.
        cluster.net.injectFaults((from, to, call) ->
                from.equals(oldLeader) && call.target().equals("/txn") ? Delivery.HELD : Delivery.DELIVERED);
        cluster.await(() -> cluster.net.heldCount() > 0, 30);
        cluster.net.injectFaults((from, to, call) ->
                from.equals(oldLeader) && SimulatedCluster.isStateService(to) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.awaitLeaderOtherThan(oldLeader, 30);
        cluster.await(() -> cluster.runningTasks().size() == 2, 60);
        JsonNode leaderRecord = cluster.state.value("leader");
        List<BindingsRecord.MachineBindings> bindings = cluster.recordedBindings();
        cluster.net.deliverHeld();
        cluster.loop.run(0.1);
        assertEquals(leaderRecord, cluster.state.value("leader"));
        assertEquals(bindings, cluster.recordedBindings());
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 300);
        assertEquals(2, cluster.taskStarts().size());
    }

    @Test
    void leaderThatLosesStateServiceStopsAnsweringWorkers() {
        cluster.awaitLeader(10);
        String oldLeader = cluster.leader();
        cluster.net.injectFaults((from, to, call) ->
                from.equals(oldLeader) && SimulatedCluster.isStateService(to) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.awaitLeaderOtherThan(oldLeader, 30);
        Response response = cluster.request(oldLeader, "POST", "/hello", SimJobs.heartbeat("i-000099", 7));
        assertNotEquals(200, response.status());
    }

    @Test
    void stateServiceOutageLosesNoTask() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 2).put("expectS", 30.0));
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
        cluster.state.startOutage(8);
        assertEquals("503", cluster.poll("j-000001"));
        assertEquals(
                503,
                cluster.request("n0", "POST", "/api/jobs", SimJobs.array(2, 1)).status());
        cluster.loop.run(10);
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(
                2,
                cluster.taskStarts().size(),
                "each task must start once, because the outage is shorter than a lease");
    }

    @Test
    void crashOfAllNodesLosesNoTask() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 4).put("expectS", 20.0));
        cluster.await(() -> cluster.runningTasks().size() == 4, 40);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.nodes.crash(node);
        }
        assertNull(cluster.leader());
        cluster.loop.run(3);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.nodes.start(node);
        }
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 60);
        assertEquals(4, cluster.taskStarts().size());
    }

    @Test
    void leaderUnreachableByWorkersStepsDown() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 2).put("expectS", 40.0));
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
        String oldLeader = cluster.leader();
        cluster.net.injectFaults((from, to, call) -> {
            boolean isHeartbeat = from.startsWith("i-") && to.equals(SimulatedCluster.address(oldLeader));
            boolean isCommand = from.equals(oldLeader) && call.target().equals("/do");
            return isHeartbeat || isCommand ? Delivery.LOST : Delivery.DELIVERED;
        });
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 90);
        assertNotEquals(oldLeader, cluster.leader());
        assertEquals(
                2,
                cluster.taskStarts().size(),
                "each task must start once: another leader must answer workers before a lease expires");
    }

    @Test
    void nodesStartedDuringCloudOutageAcceptAndPlaceJobs() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 1));
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 60);
        cluster.net.injectFaults((from, to, call) -> SimulatedCluster.isCloud(to) ? Delivery.LOST : Delivery.DELIVERED);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.nodes.crash(node);
        }
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.nodes.start(node);
        }
        cluster.loop.run(5);
        assertEquals(201, cluster.submit(SimJobs.array(2, 1)));
        cluster.await(() -> cluster.poll("j-000002").equals("done"), 60);
    }

    @Test
    void runningNodeReplacesRestartedLeaderImmediately() {
        cluster.awaitLeader(10);
        String leader = cluster.leader();
        // Only the requests of the restarted leader are fast, so the other nodes learn of its restart late.
        cluster.net.injectFaults((from, to, call) -> from.equals(leader) ? Delivery.DELIVERED : Delivery.SLOW);
        cluster.nodes.crash(leader);
        cluster.nodes.start(leader);
        cluster.loop.run(0.8);
        assertNotNull(cluster.leader());
        assertNotEquals(leader, cluster.leader());
    }

    @Test
    void restartedLeaderIsReelectedIfNoOtherNodeRuns() {
        cluster.awaitLeader(10);
        String leader = cluster.leader();
        List.of("n0", "n1", "n2").forEach(cluster.nodes::crash);
        cluster.nodes.start(leader);
        cluster.loop.run(SimulatedCluster.LEASE_S / 4);
        assertEquals(
                leader,
                cluster.leader(),
                "the restarted leader must be elected long before the lease of its former incarnation expires");
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
        cluster.submit(SimJobs.array(1, 2).put("expectS", 60.0));
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
        String oldLeader = cluster.leader();
        String isolatedNode = cluster.follower();
        cluster.nodes.isolateFromPeers(isolatedNode);
        cluster.net.injectFaults((from, to, call) ->
                from.equals(isolatedNode) && SimulatedCluster.isStateService(to) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.loop.run(26); // until the last watch of the isolated node has ended
        cluster.nodes.crash(oldLeader);
        cluster.awaitLeader(30);
        assertNotEquals(isolatedNode, cluster.leader());
        // A watch that the isolated node opened before the partition was still answered.
        cluster.loop.run(4);
        Response response = cluster.request(isolatedNode, "POST", "/hello", SimJobs.heartbeat("i-000099", 7));
        assertEquals(503, response.status(), "a node must not redirect workers to a leader that it cannot confirm");
        assertEquals(503, cluster.request(isolatedNode, "GET", "/healthz").status());
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(2, cluster.taskStarts().size(), "each task must start once, because no lease expires");
    }

    @Test
    void workersOfLeaderWithoutStateServiceAndPeersMoveToNewLeader() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 2).put("expectS", 60.0));
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
        String isolatedLeader = cluster.leader();
        cluster.nodes.isolateFromPeers(isolatedLeader);
        cluster.net.injectFaults((from, to, call) -> from.equals(isolatedLeader) && SimulatedCluster.isStateService(to)
                ? Delivery.LOST
                : Delivery.DELIVERED);
        cluster.awaitLeaderOtherThan(isolatedLeader, 30);
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(2, cluster.taskStarts().size(), "each task must start once, because no lease expires");
    }

    @Test
    void restartedNodeLeadsDespiteLateElectionTransactionOfFormerIncarnation() {
        SimulatedCluster singleNodeCluster = new SimulatedCluster(1);
        singleNodeCluster.net.injectFaults(
                (from, to, call) -> call.target().equals("/txn") ? Delivery.HELD : Delivery.DELIVERED);
        while (singleNodeCluster.net.heldCount() == 0) {
            singleNodeCluster.loop.run(0.01);
        }
        singleNodeCluster.nodes.crash("n0");
        singleNodeCluster.loop.run(0.05);
        singleNodeCluster.nodes.start("n0");
        singleNodeCluster.loop.run(0.3);
        singleNodeCluster.net.clearFaults();
        singleNodeCluster.net.deliverHeld();
        singleNodeCluster.loop.run(5);
        assertEquals("n0", singleNodeCluster.leader());
        singleNodeCluster.submit(SimJobs.array(1, 1));
        singleNodeCluster.loop.run(40);
        assertEquals("done", singleNodeCluster.poll("j-000001"));
        assertEquals(1, singleNodeCluster.taskStarts().size());
    }

    @Test
    void everyJobIsKnownToEveryNodeAndCompletesAfterFaultsEnd() {
        cluster.awaitLeader(10);
        for (int i = 1; i <= 4; i++) {
            cluster.submit(SimJobs.array(i, 2).put("expectS", 10.0));
        }
        cluster.await(() -> cluster.runningTasks().size() == 4, 40);
        // All nodes crash during an outage of the state service. After their restart, each node in turn loses its
        // connection to the state service.
        cluster.state.startOutage(20);
        cluster.loop.run(5);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.nodes.crash(node);
        }
        cluster.loop.run(3);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.nodes.start(node);
        }
        cluster.loop.run(15);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            cluster.net.injectFaults((from, to, call) ->
                    from.equals(node) && SimulatedCluster.isStateService(to) ? Delivery.LOST : Delivery.DELIVERED);
            cluster.loop.run(10);
        }
        cluster.net.clearFaults();
        cluster.loop.run(5);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            assertEquals(200, cluster.request(node, "GET", "/healthz").status());
            for (int i = 1; i <= 4; i++) {
                String id = SimJobs.id(i);
                assertEquals(
                        200, cluster.request(node, "GET", "/api/jobs/" + id).status());
            }
        }
        cluster.await(() -> cluster.completedTasks().size() == 8, 120);
    }

    @Test
    void leaderWithExpiredLeaseDeletesNoMachineOfSuccessor() {
        cluster.awaitLeader(10);
        String oldLeader = cluster.leader();
        AtomicBoolean deletionRequested = new AtomicBoolean();
        AtomicBoolean deletionRequestedWithoutLease = new AtomicBoolean();
        cluster.net.injectFaults((from, to, call) -> {
            boolean isDeletionRequest = from.equals(oldLeader) && call.target().equals("/hosts/delete");
            deletionRequested.compareAndSet(false, isDeletionRequest);
            deletionRequestedWithoutLease.compareAndSet(
                    false, isDeletionRequest && !oldLeader.equals(cluster.leader()));
            boolean isLeaderWatch = call.target().startsWith("/follow?starts=leader");
            boolean isIsolated = from.equals(oldLeader)
                    && (isLeaderWatch || (deletionRequested.get() && SimulatedCluster.isStateService(to)));
            return isDeletionRequest || isIsolated ? Delivery.LOST : Delivery.DELIVERED;
        });
        cluster.submit(SimJobs.array(1, 1));
        cluster.await(() -> deletionRequested.get(), 120); // the leader retries the request, because no answer arrives
        cluster.awaitLeaderOtherThan(oldLeader, 30);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        assertFalse(deletionRequestedWithoutLease.get());
    }
}
