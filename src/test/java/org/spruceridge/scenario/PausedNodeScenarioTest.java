package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;
import org.spruceridge.net.Response;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimulatedCluster;

/** Node processes are paused while their clocks run on. A node must not act on a lease that expired meanwhile. */
final class PausedNodeScenarioTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    @Test
    void leaderPausedForLongerThanLeaseIsReplaced() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 2).put("expectS", 60.0));
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
        String oldLeader = cluster.leader();
        // The leader is paused after a node has accepted a job and before the leader writes the job's binding.
        cluster.submit(SimJobs.array(2, 1).put("expectS", 5.0));
        cluster.nodes.pause(oldLeader, 2 * SimulatedCluster.LEASE_S);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        assertNotEquals(oldLeader, cluster.leader());
        Response response = cluster.request(cluster.leader(), "POST", "/api/jobs/j-000002/abort");
        String outcome = SimulatedCluster.stage(response);
        int deletionRequests = cluster.cloud.deletionRequestCount();
        cluster.loop.run(SimulatedCluster.LEASE_S + 1);
        assertNotEquals(
                oldLeader,
                cluster.leader(),
                "the paused node must not lead again, because the state that it read before the pause is stale");
        assertEquals(
                deletionRequests,
                cluster.cloud.deletionRequestCount(),
                "a node must not delete machines because of heartbeats that it missed during its own pause");
        assertEquals(outcome, SimulatedCluster.stage(cluster.request(oldLeader, "GET", "/api/jobs/j-000002")));
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(
                2,
                cluster.taskStarts().stream()
                        .filter(start -> start.startsWith("j-000001"))
                        .count(),
                "each task of the first job must start once, because no lease expires");
    }

    @Test
    void leaderPausedForLessThanLeaseKeepsLeading() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 4).put("expectS", 60.0));
        cluster.await(() -> cluster.runningTasks().size() == 4, 40);
        String leader = cluster.leader();
        int deletionRequests = cluster.cloud.deletionRequestCount();
        cluster.nodes.pause(leader, SimulatedCluster.LEASE_S * 0.4);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        assertEquals(leader, cluster.leader());
        assertEquals(
                deletionRequests,
                cluster.cloud.deletionRequestCount(),
                "a node must not delete machines because of heartbeats that it missed during its own pause");
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 90);
        assertEquals(4, cluster.taskStarts().size());
    }

    @Test
    void nodePausedDuringElectionOrFailoverDoesNotLeadAfterwards() {
        for (int step = 0; step < 12; step++) {
            SimulatedCluster twoNodeCluster = new SimulatedCluster(2);
            // The pause of n1 begins between its first request and the end of its failover.
            twoNodeCluster.loop.run(0.0004 * step * step);
            twoNodeCluster.nodes.pause("n1", 3 * SimulatedCluster.LEASE_S);
            twoNodeCluster.nodes.pause("n0", 0.5);
            twoNodeCluster.loop.run(10);
            assertEquals("n0", twoNodeCluster.leader(), "n0 must lead in step " + step);
            twoNodeCluster.submit(SimJobs.array(1, 1).put("expectS", 60.0));
            twoNodeCluster.loop.run(3 * SimulatedCluster.LEASE_S);
            assertEquals("n0", twoNodeCluster.leader(), "n0 must lead in step " + step);
            twoNodeCluster.loop.run(60);
            assertEquals("done", twoNodeCluster.poll("j-000001"));
            assertEquals(1, twoNodeCluster.taskStarts().size());
        }
    }
}
