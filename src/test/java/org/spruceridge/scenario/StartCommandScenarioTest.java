package org.spruceridge.scenario;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.config.Address;
import org.spruceridge.net.HttpCall;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/**
 * Start commands that are delayed or repeated. The simulated cluster fails a scenario as soon as a task runs on two
 * machines at the same time or a team exceeds its quota.
 */
final class StartCommandScenarioTest {
    private static final String JOB_3_TASK = "j-000003/0";
    private static final String JOB_4_TASK = "j-000004/0";

    /** The limit of the users' page on the wait of a job for which a machine has capacity. */
    private static final double MAX_WAIT_S = 90;

    private final SimulatedCluster cluster = new SimulatedCluster(3);
    private SimWorker worker;
    private int heartbeatCount;
    private boolean isStartInDelayedResponse;

    /**
     * Starts two machines. Job 1 fills one machine; job 2 fills half of the other, the machine of {@code worker}. The
     * cloud has no capacity for a third machine.
     */
    @BeforeEach
    void startTwoMachines() {
        cluster.cloud.limitCapacity(2);
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 1).put("cpus", 8.0).put("expectS", 100.0));
        cluster.await(() -> cluster.runningTasks().size() == 1, 40);
        cluster.submit(SimJobs.array(2, 1).put("expectS", 150.0));
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
        worker = cluster.cloud.workers().get(1);
        cluster.loop.run(3); // from now on, the worker sends only periodic heartbeats
    }

    /**
     * Guards against a task that runs on two machines. The response to a heartbeat starts the task and is delayed.
     * Meanwhile the result of a direct command arrives, which is newer than the heartbeat and does not list the task.
     */
    @Test
    void resultOfDirectCommandThatOvertakesHeartbeatResponseReleasesNoTask() {
        delayStartInHeartbeatResponse();
        cluster.cancel(cluster.leader(), "j-000001"); // the other machine now has capacity for the task
        worker.announceInterruption(60);
        cluster.await(() -> cluster.runningTasks().containsKey(JOB_3_TASK), 10);
        cluster.await(() -> cluster.runningTasks().containsKey(JOB_4_TASK), 10);
        cluster.loop.run(5); // the delayed response has arrived
        cluster.verifyRecovery(250);
    }

    /**
     * Guards against a team that exceeds its quota. The response to a heartbeat starts a task and is delayed, and the
     * job of the task is cancelled. The result of a direct command that does not list the task must not free the
     * task's share of the quota.
     */
    @Test
    void cancelledStartInDelayedHeartbeatResponseCountsAgainstQuota() {
        delayStartInHeartbeatResponse();
        cluster.submit(SimJobs.array(5, 1).put("cpus", 2.0));
        cluster.cancel(cluster.leader(), "j-000004");
        cluster.await(() -> cluster.poll("j-000005").equals("done"), 60);
        cluster.verifyRecovery(250);
    }

    /**
     * Guards against a task that runs on two machines. A direct command starts the task, the task fails, and the worker
     * forgets the attempt. Then a duplicate of the command arrives while the task runs on another machine.
     */
    @Test
    void duplicateOfExecutedStartCommandStartsNoForgottenAttempt() {
        runTaskAgainOnOtherMachine();
        cluster.net.deliverHeld();
        cluster.verifyRecovery(250);
    }

    /**
     * Guards against the same fault at a change of leader: the duplicate arrives before the worker has seen the fencing
     * token of the new leader.
     */
    @Test
    void duplicateOfExecutedStartCommandDuringElectionStartsNoForgottenAttempt() {
        runTaskAgainOnOtherMachine();
        String oldLeader = cluster.leader();
        cluster.nodes.crash(oldLeader);
        cluster.nodes.start(oldLeader);
        cluster.net.deliverHeld();
        cluster.verifyRecovery(250);
    }

    /** Guards against a start of a cancelled task, minutes after its cancellation, by a duplicate of its start command. */
    @Test
    void duplicateOfExecutedStartCommandStartsNoCancelledTask() {
        duplicateStartsOf("j-000003/");
        cluster.submit(SimJobs.array(3, 2).put("expectS", 10.0));
        cluster.await(() -> cluster.completedTasks().contains(JOB_3_TASK), 30);
        cluster.await(() -> cluster.runningTasks().containsKey("j-000003/1"), 10);
        cluster.cancel(cluster.leader(), "j-000003");
        cluster.loop.run(90);
        assertFalse(worker.listsTask(JOB_3_TASK), "the worker must have forgotten the completed attempt");
        cluster.net.deliverHeld();
        cluster.verifyRecovery(250);
    }

    /**
     * Guards against machines that get no tasks for the rest of a term. The direct command is held, the response to a
     * heartbeat starts the task, and the machine is never idle.
     */
    @Test
    void machineGetsTasksAgainOnceItListsTaskOfUnansweredStartCommand() {
        holdStartsOf(JOB_3_TASK);
        cluster.submit(SimJobs.array(3, 1).put("cpus", 2.0));
        cluster.await(() -> cluster.completedTasks().contains(JOB_3_TASK), 30);
        cluster.loop.run(SimulatedCluster.LEASE_S / 2); // by now the leader has given up waiting for the response
        cluster.submit(SimJobs.array(4, 1).put("cpus", 2.0));
        cluster.await(() -> cluster.completedTasks().contains(JOB_4_TASK), MAX_WAIT_S);
        assertTrue(cluster.taskStarts().contains(JOB_4_TASK + "@" + worker.name()));
        cluster.verifyRecovery(250);
    }

    /**
     * Guards against the same fault, and against the deletion of a machine with running tasks: the start is held, and its
     * job is cancelled before a response can start the task. The worker rejects the start once it has accepted a
     * higher fencing token, however late the start arrives.
     */
    @Test
    void machineKeepsTasksWhileUnansweredStartCommandOfCancelledJobIsInvalidated() {
        holdStartsOf(JOB_3_TASK);
        cluster.submit(SimJobs.array(3, 1).put("cpus", 2.0));
        while (cluster.net.heldCount() == 0) {
            cluster.loop.run(0.01);
        }
        assertEquals("cancelled", cluster.cancel(cluster.leader(), "j-000003"));
        cluster.loop.run(SimulatedCluster.LEASE_S / 2); // by now the leader has given up waiting for the response
        cluster.submit(SimJobs.array(4, 1).put("cpus", 2.0).put("expectS", 60.0));
        cluster.await(() -> cluster.runningTasks().containsKey(JOB_4_TASK), MAX_WAIT_S);
        cluster.net.deliverHeld();
        cluster.loop.run(5);
        assertFalse(worker.listsTask(JOB_3_TASK), "the late start must be rejected");
        assertTrue(worker.runningTasks().contains("j-000002/0"), "the task of the other job must still run");
        cluster.verifyRecovery(250);
    }

    /** Without responses, the worker cannot accept a higher fencing token, so only its deletion rules the start out. */
    @Test
    void machineThatReceivesNothingIsDeletedAfterUnansweredStartCommandOfCancelledJob() {
        holdStartsOf(JOB_3_TASK);
        cluster.submit(SimJobs.array(3, 1).put("cpus", 2.0));
        while (cluster.net.heldCount() == 0) {
            cluster.loop.run(0.01);
        }
        cluster.net.injectFaults((from, to, call) -> {
            if (from.equals(worker.name())) {
                return Delivery.RESPONSE_LOST;
            }
            return to.equals(SimWorker.address(worker.name())) ? Delivery.HELD : Delivery.DELIVERED;
        });
        assertEquals("cancelled", cluster.cancel(cluster.leader(), "j-000003"));
        cluster.await(
                () -> !cluster.cloud.machineNames().contains(worker.name()), SimulatedCluster.CANCELLATION_DEADLINE_S);
        cluster.verifyRecovery(250);
    }

    /** Holds each direct command to {@code worker} that starts a task with this id prefix. */
    private void holdStartsOf(String taskIdPrefix) {
        cluster.net.injectFaults(
                (from, to, call) -> to.equals(SimWorker.address(worker.name())) && startsTask(call, taskIdPrefix)
                        ? Delivery.HELD
                        : Delivery.DELIVERED);
    }

    /** The heartbeats of a worker must not become longer and longer during the term of one leader. */
    @Test
    void exitedAttemptsAreForgottenWithinOneLease() {
        double taskS = 2;
        cluster.submit(SimJobs.array(3, 40).put("expectS", taskS));
        long maxExitedAttempts = 0;
        while (!cluster.poll("j-000003").equals("done")) {
            cluster.loop.run(0.1);
            maxExitedAttempts = Math.max(maxExitedAttempts, worker.exitedAttemptCount());
        }
        assertTrue(
                maxExitedAttempts <= SimulatedCluster.LEASE_S / taskS,
                "the worker listed " + maxExitedAttempts + " exited attempts, more than can exit within one lease");
        cluster.loop.run(SimulatedCluster.LEASE_S);
        assertEquals(0, worker.exitedAttemptCount());
    }

    /**
     * Submits job 3, whose task fails on the machine of {@code worker} and then runs on the other machine. Returns when
     * the worker has forgotten the failed attempt. A duplicate of its start command is held.
     */
    private void runTaskAgainOnOtherMachine() {
        duplicateStartsOf(JOB_3_TASK);
        worker.setBehaviour(SimWorker.Behaviour.FAILS);
        cluster.submit(SimJobs.array(3, 1).put("cpus", 2.0).put("expectS", 20.0));
        cluster.await(() -> worker.listsTask(JOB_3_TASK), 10);
        String otherMachine = cluster.runningTasks().get("j-000001/0");
        cluster.cancel(cluster.leader(), "j-000001"); // the other machine now has capacity for the task
        cluster.await(() -> otherMachine.equals(cluster.runningTasks().get(JOB_3_TASK)), 40);
        worker.setBehaviour(SimWorker.Behaviour.COMPLETES);
        cluster.await(() -> !worker.listsTask(JOB_3_TASK), SimulatedCluster.LEASE_S);
        assertEquals(1, cluster.net.heldCount());
    }

    /** Holds a duplicate of each direct command to {@code worker} that starts a task with this id prefix. */
    private void duplicateStartsOf(String taskIdPrefix) {
        cluster.net.injectFaults(
                (from, to, call) -> to.equals(SimWorker.address(worker.name())) && startsTask(call, taskIdPrefix)
                        ? Delivery.DUPLICATED
                        : Delivery.DELIVERED);
    }

    private static boolean startsTask(HttpCall call, String taskIdPrefix) {
        return new String(call.body(), UTF_8).contains("\"verb\":\"start\",\"part\":\"" + taskIdPrefix);
    }

    /**
     * Submits jobs 3 and 4, which use up the quota. The direct command that starts the task of job 3 is delayed. The
     * task of job 4 is therefore started in the response to a heartbeat. Returns once that response is sent, which
     * arrives after the result of the direct command.
     */
    private void delayStartInHeartbeatResponse() {
        cluster.net.injectFaults(this::delayStarts);
        int heartbeatsBefore = heartbeatCount;
        cluster.await(() -> heartbeatCount > heartbeatsBefore, 5);
        cluster.loop.run(0.6);
        cluster.submit(SimJobs.array(3, 1).put("cpus", 2.0).put("expectS", 30.0));
        cluster.loop.run(0.5);
        cluster.submit(SimJobs.array(4, 1).put("cpus", 2.0).put("expectS", 30.0));
        cluster.await(() -> cluster.hasBinding("j-000004"), 1);
        isStartInDelayedResponse = true;
        int heartbeatsUntilBound = heartbeatCount;
        cluster.await(() -> heartbeatCount > heartbeatsUntilBound, 2);
        assertEquals(2, cluster.runningTasks().size(), "the direct command and the response must still be in transit");
    }

    private Delivery delayStarts(String from, Address to, HttpCall call) {
        if (from.equals(worker.name())) {
            heartbeatCount++;
            boolean isDelayed = isStartInDelayedResponse;
            isStartInDelayedResponse = false;
            return isDelayed ? Delivery.RESPONSE_DELAYED : Delivery.DELIVERED;
        }
        return to.equals(SimWorker.address(worker.name())) && startsTask(call, JOB_3_TASK)
                ? Delivery.REQUEST_DELAYED
                : Delivery.DELIVERED;
    }
}
