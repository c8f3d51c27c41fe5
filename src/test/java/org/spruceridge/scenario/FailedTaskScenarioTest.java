package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimulatedCluster;

/**
 * Failed tasks, whose cause is either their job or their machine. No job may wait for longer than {@link #MAX_WAIT_S}
 * while a machine that fits has capacity.
 */
final class FailedTaskScenarioTest {
    /** The limit of the users' page on the wait of a job for which a machine has capacity. */
    private static final double MAX_WAIT_S = 90;

    /** The run time of a task that fails. */
    private static final double FAILED_RUN_S = 0.5;

    private final SimulatedCluster cluster = SimulatedCluster.withAnnouncedLowerLimits(3);

    /** Starts two machines, each with one replica of service 1. The cloud has no capacity for a third machine. */
    private void startTwoMachinesWithReplicas() {
        cluster.cloud.limitCapacity(2);
        cluster.awaitLeader(10);
        cluster.await(() -> cluster.state.value("feature-level") != null, 10);
        assertEquals(201, cluster.submit(SimJobs.service(1, 2).put("scatter", true)));
        cluster.await(() -> cluster.runningReplicaCount(1) == 2, 40);
        cluster.loop.run(3);
        assertEquals(2, cluster.cloud.workers().size());
    }

    private static ObjectNode mistakenJob(int number) {
        return SimJobs.array(number, 1).put("cpus", 1.0).put("expectS", FAILED_RUN_S);
    }

    private void awaitStart(String taskId, double timeoutS) {
        cluster.await(() -> cluster.taskStarts().stream().anyMatch(start -> start.startsWith(taskId + "@")), timeoutS);
    }

    private long countStarts(String taskId) {
        return cluster.taskStarts().stream()
                .filter(start -> start.startsWith(taskId + "@"))
                .count();
    }

    /**
     * Guards against machines that stay cordoned after their cordon has lost its grounds: two jobs that were submitted
     * with a mistake fail on all machines and are cancelled, no machine is ever idle, and the cloud has no capacity.
     */
    @Test
    void cancelledJobsThatFailedOnEveryMachineLeaveNoMachineCordoned() {
        startTwoMachinesWithReplicas();
        cluster.submitMistaken(mistakenJob(2));
        cluster.submitMistaken(mistakenJob(3));
        cluster.await(() -> countStarts("j-000002/0") >= 2 && countStarts("j-000003/0") >= 2, 30);
        cluster.loop.run(5);
        assertEquals("cancelled", cluster.cancel("n0", "j-000002"));
        assertEquals("cancelled", cluster.cancel("n1", "j-000003"));
        cluster.submit(SimJobs.array(4, 1).put("cpus", 1.0));
        awaitStart("j-000004/0", MAX_WAIT_S);
        assertEquals("cancelled", cluster.cancel("n0", "j-000001"));
        cluster.verifyRecovery(250);
    }
}
