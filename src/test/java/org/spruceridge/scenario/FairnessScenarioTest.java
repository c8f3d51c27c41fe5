package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimulatedCluster;

/** Starvation prevention: even the largest jobs and tasks must start, whatever else users submit. */
final class FairnessScenarioTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    @Test
    void largestJobStartsDespiteStreamOfUrgentSmallJobs() {
        cluster.awaitLeader(10);
        // The team's quota equals the CPUs of two machines. A steady stream of small jobs of higher priority exceeds
        // this quota.
        int jobNumber = 100;
        for (int i = 0; i < 12; i++) {
            submitUrgent(++jobNumber);
        }
        cluster.await(() -> cluster.runningTasks().size() == 4, 40);
        cluster.submit(SimJobs.array(1, 30).put("rank", "best_effort").put("expectS", 60.0));
        long submittedAtNanos = cluster.loop.nanos();
        while (cluster.taskStarts().stream().noneMatch(s -> s.startsWith("j-000001"))) {
            submitUrgent(++jobNumber);
            cluster.loop.run(1.5);
            assertTrue(
                    cluster.loop.nanos() - submittedAtNanos < 240e9, "the largest job must start within four minutes");
        }
    }

    @Test
    void largeTaskStartsDespiteSmallTasksFillingTeamQuota() {
        cluster.awaitLeader(10);
        int jobNumber = 100;
        for (int i = 0; i < 32; i++) {
            submitSmall(++jobNumber);
        }
        cluster.await(() -> cluster.runningTasks().size() == (int) SimulatedCluster.TEAM_CPUS, 40);
        cluster.submit(SimJobs.array(1, 2).put("cpus", 8.0).put("expectS", 10.0));
        long submittedAtNanos = cluster.loop.nanos();
        while (cluster.taskStarts().stream().noneMatch(s -> s.startsWith("j-000001"))) {
            submitSmall(++jobNumber);
            cluster.loop.run(0.4);
            assertTrue(
                    cluster.loop.nanos() - submittedAtNanos < 240e9, "the large task must start within four minutes");
        }
    }

    /** Heartbeats have priority over scheduling, but a leader whose event loop is never idle must still schedule. */
    @Test
    void schedulingYieldsToPendingRequestsForBoundedTime() {
        cluster.awaitLeader(10);
        submitSmall(1);
        cluster.await(() -> cluster.runningTasks().size() == 1, 40);
        submitSmall(2);
        cluster.await(() -> hasStarted("j-000002"), 1);
        cluster.loop.setBusy(true);
        submitSmall(3);
        cluster.loop.run(0.08 * SimulatedCluster.LEASE_S);
        assertFalse(
                hasStarted("j-000003"),
                "the third job must not start yet: scheduling must be delayed while requests are queued");
        cluster.await(() -> hasStarted("j-000003"), 0.1 * SimulatedCluster.LEASE_S);
    }

    private boolean hasStarted(String job) {
        return cluster.taskStarts().stream().anyMatch(s -> s.startsWith(job));
    }

    private void submitSmall(int jobNumber) {
        cluster.submit(
                SimJobs.array(jobNumber, 1).put("cpus", 1.0).put("memGb", 1.0).put("expectS", 8.0));
    }

    private void submitUrgent(int jobNumber) {
        cluster.submit(SimJobs.array(jobNumber, 1)
                .put("rank", "high")
                .put("expectS", 8.0)
                .put("dueS", 40.0));
    }
}
