package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimWorker;
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

    /** A job of one task that runs for as long as a task that fails. */
    private static ObjectNode shortJob(int number) {
        return SimJobs.array(number, 1).put("cpus", 1.0).put("expectS", FAILED_RUN_S);
    }

    private void awaitStart(String taskId, double timeoutS) {
        cluster.await(() -> cluster.taskStarts().stream().anyMatch(start -> start.startsWith(taskId + "@")), timeoutS);
    }

    /** Waits until the tasks of jobs 2 and 3 have failed on both machines, so that both are cordoned. */
    private void awaitFailuresOfJobs2And3OnBothMachines() {
        cluster.await(() -> countStarts("j-000002/0") >= 2 && countStarts("j-000003/0") >= 2, 30);
        cluster.loop.run(2);
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
        cluster.submitMistaken(shortJob(2));
        cluster.submitMistaken(shortJob(3));
        awaitFailuresOfJobs2And3OnBothMachines();
        cluster.loop.run(3);
        assertEquals("cancelled", cluster.cancel("n0", "j-000002"));
        assertEquals("cancelled", cluster.cancel("n1", "j-000003"));
        cluster.submit(SimJobs.array(4, 1).put("cpus", 1.0));
        awaitStart("j-000004/0", MAX_WAIT_S);
        assertEquals("cancelled", cluster.cancel("n0", "j-000001"));
        cluster.verifyRecovery(250);
    }

    /**
     * Guards against machines that stay cordoned although they are in order again: both machines were faulty for a
     * while, they are never idle, and the cloud has no capacity.
     */
    @Test
    void machinesThatAreInOrderAgainGetTasksAgain() {
        startTwoMachinesWithReplicas();
        cluster.cloud.setBehaviour(SimWorker.Behaviour.FAILS_NEW_TASKS);
        cluster.submit(shortJob(2));
        cluster.submit(shortJob(3));
        awaitFailuresOfJobs2And3OnBothMachines();
        cluster.cloud.setBehaviour(SimWorker.Behaviour.COMPLETES);
        cluster.await(() -> cluster.completedTasks().containsAll(List.of("j-000002/0", "j-000003/0")), MAX_WAIT_S);
        cluster.submit(SimJobs.array(4, 3).put("cpus", 3.0));
        cluster.await(() -> cluster.poll("j-000004").equals("done"), 30);
        assertEquals("cancelled", cluster.cancel("n0", "j-000001"));
        cluster.verifyRecovery(250);
    }

    /** Guards against the same wait if the tasks that are tried first run for longer than other jobs may wait. */
    @Test
    void machinesThatAreInOrderAgainGetTasksWhileLongTasksRun() {
        startTwoMachinesWithReplicas();
        cluster.cloud.setBehaviour(SimWorker.Behaviour.FAILS_NEW_TASKS);
        cluster.submit(shortJob(2));
        cluster.submit(shortJob(3));
        awaitFailuresOfJobs2And3OnBothMachines();
        cluster.submit(SimJobs.array(4, 2).put("cpus", 1.0).put("expectS", 200.0));
        cluster.cloud.setBehaviour(SimWorker.Behaviour.COMPLETES);
        cluster.await(() -> countStarts("j-000004/0") == 1 && countStarts("j-000004/1") == 1, MAX_WAIT_S);
        cluster.await(() -> cluster.completedTasks().containsAll(List.of("j-000002/0", "j-000003/0")), MAX_WAIT_S);
        assertEquals("cancelled", cluster.cancel("n0", "j-000001"));
        cluster.verifyRecovery(250);
    }

    /**
     * Guards against the loss of all machines to two mistaken jobs: the machines are idle, and the cloud would not
     * replace them.
     */
    @Test
    void idleMachineOnWhichMistakenJobsFailIsKeptWhileNothingReplacesIt() {
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 2).put("cpus", 8.0));
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 40);
        cluster.cloud.limitCapacity(0);
        cluster.submitMistaken(shortJob(2));
        cluster.submitMistaken(shortJob(3));
        awaitFailuresOfJobs2And3OnBothMachines();
        cluster.loop.run(8);
        assertEquals("cancelled", cluster.cancel("n0", "j-000002"));
        assertEquals("cancelled", cluster.cancel("n1", "j-000003"));
        cluster.submit(SimJobs.array(4, 1));
        cluster.await(() -> cluster.completedTasks().contains("j-000004/0"), MAX_WAIT_S);
        cluster.verifyRecovery(250);
    }

    /** Guards against a job that waits because of mistaken jobs whose users do not cancel them. */
    @Test
    void jobRunsOnCordonedMachineWhileMistakenJobsFailOnEveryMachine() {
        startTwoMachinesWithReplicas();
        cluster.submitMistaken(shortJob(2));
        cluster.submitMistaken(shortJob(3));
        awaitFailuresOfJobs2And3OnBothMachines();
        for (int number = 4; number < 10; number++) {
            cluster.submit(SimJobs.array(number, 1).put("cpus", 3.0));
            String task = SimJobs.id(number) + "/0";
            cluster.await(() -> cluster.completedTasks().contains(task), MAX_WAIT_S);
        }
        for (int number = 1; number < 4; number++) {
            assertEquals("cancelled", cluster.cancel("n0", SimJobs.id(number)));
        }
        cluster.verifyRecovery(250);
    }

    /** Guards against a job that is never tried again on the only machine that fits after a task of it failed there. */
    @Test
    void jobIsTriedAgainOnOnlyMachineThatFits() {
        startTwoMachinesWithReplicas();
        SimWorker onlyWorker = cluster.cloud.workers().get(0);
        onlyWorker.setBehaviour(SimWorker.Behaviour.FAILS_NEW_TASKS);
        cluster.submit(shortJob(2).put("grove", onlyWorker.zone()));
        cluster.await(() -> countStarts("j-000002/0") == 1, 30);
        cluster.loop.run(2);
        onlyWorker.setBehaviour(SimWorker.Behaviour.COMPLETES);
        cluster.await(() -> cluster.completedTasks().contains("j-000002/0"), MAX_WAIT_S);
        assertEquals("cancelled", cluster.cancel("n0", "j-000001"));
        cluster.verifyRecovery(250);
    }

    /** A machine on which every task fails gets no more tasks while another machine can take them. */
    @Test
    void faultyMachineGetsNoTasksWhileOtherMachineHasCapacity() {
        startTwoMachinesWithReplicas();
        SimWorker faultyWorker = cluster.cloud.workers().get(0);
        faultyWorker.setBehaviour(SimWorker.Behaviour.FAILS_NEW_TASKS);
        for (int number = 2; number < 40; number++) {
            cluster.submit(shortJob(number));
            cluster.loop.run(4);
        }
        long startsOnFaultyMachine = cluster.taskStarts().stream()
                .filter(start -> !start.startsWith("j-000001/") && start.endsWith("@" + faultyWorker.name()))
                .count();
        assertEquals(2, startsOnFaultyMachine, "two failures of different jobs must be enough");
        assertEquals("cancelled", cluster.cancel("n0", "j-000001"));
        cluster.verifyRecovery(250);
    }
}
