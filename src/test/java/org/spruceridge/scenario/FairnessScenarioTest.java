package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimulatedCluster;

/** No starvation: the largest jobs and tasks start too, whatever else is submitted. */
final class FairnessScenarioTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    @Test
    void largestJobStartsDespiteStreamOfUrgentSmallJobs() {
        cluster.awaitLeader(10);
        // Capacity for two machines, and a steady stream of small jobs of a higher priority that exceeds it.
        int number = 100;
        for (int i = 0; i < 12; i++) {
            submitUrgent(++number);
        }
        cluster.await(() -> cluster.running().size() == 4, 40);
        cluster.submit(SimJobs.array(1, 30).put("rank", "best_effort").put("expectS", 60.0));
        long submitted = cluster.loop.nanos();
        while (cluster.starts().stream().noneMatch(s -> s.startsWith("j-000001"))) {
            submitUrgent(++number);
            cluster.loop.run(1.5);
            assertTrue(cluster.loop.nanos() - submitted < 240e9, "the largest job must start within four minutes");
        }
    }

    @Test
    void largeTaskStartsDespiteSmallTasksFillingTeamQuota() {
        cluster.awaitLeader(10);
        int number = 100;
        for (int i = 0; i < 32; i++) {
            submitSmall(++number);
        }
        cluster.await(() -> cluster.running().size() == (int) SimulatedCluster.TEAM_CPUS, 40);
        cluster.submit(SimJobs.array(1, 2).put("cpus", 8.0).put("expectS", 10.0));
        long submitted = cluster.loop.nanos();
        while (cluster.starts().stream().noneMatch(s -> s.startsWith("j-000001"))) {
            submitSmall(++number);
            cluster.loop.run(0.4);
            assertTrue(cluster.loop.nanos() - submitted < 240e9, "the large task must start within four minutes");
        }
    }

    /** Heartbeats have priority over scheduling; but a leader that is never idle must schedule all the same. */
    @Test
    void schedulingYieldsToPendingRequestsForBoundedTime() {
        cluster.awaitLeader(10);
        submitSmall(1);
        cluster.await(() -> cluster.running().size() == 1, 40);
        submitSmall(2);
        cluster.await(() -> started("j-000002"), 1);
        cluster.loop.busy(true);
        submitSmall(3);
        cluster.loop.run(0.08 * SimulatedCluster.LEASE_S);
        assertFalse(started("j-000003"), "heartbeats have priority");
        cluster.await(() -> started("j-000003"), 0.1 * SimulatedCluster.LEASE_S);
    }

    private boolean started(String job) {
        return cluster.starts().stream().anyMatch(s -> s.startsWith(job));
    }

    private void submitSmall(int number) {
        cluster.submit(
                SimJobs.array(number, 1).put("cpus", 1.0).put("memGb", 1.0).put("expectS", 8.0));
    }

    private void submitUrgent(int number) {
        cluster.submit(
                SimJobs.array(number, 1).put("rank", "high").put("expectS", 8.0).put("dueS", 40.0));
    }
}
