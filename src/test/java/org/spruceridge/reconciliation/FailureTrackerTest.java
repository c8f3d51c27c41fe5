package org.spruceridge.reconciliation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobKind;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;

/** Each way into the state cordoned, and each way out of it. */
final class FailureTrackerTest {
    private static final double FAILED_RUN_S = 0.5;
    private static final double LONG_RUN_S = 100;
    /** The heartbeat interval of {@link Fixtures#fleetSettings}. */
    private static final double HEARTBEAT_INTERVAL_S = 5;
    /** The lease of {@link Fixtures#fleetSettings}. */
    private static final double LEASE_S = 22;

    private final LeaderContext context = Fixtures.fleetLeaderContext(new SimLoop(), new LeaderTerm(7, 1, 0));
    private final Cluster cluster = context.cluster();
    private final List<Machine> availableMachines = new ArrayList<>();
    private final FailureTracker tracker =
            new FailureTracker(cluster, context.settings().workers(), new MachineCordons(availableMachines::add));
    private final Machine machine = addMachine("i-1");
    private final Job firstJob = addJob(1, JobKind.ARRAY);
    private final Job secondJob = addJob(2, JobKind.ARRAY);
    private long now = Durations.nanos(1000);
    private long attempt;

    private Machine addMachine(String name) {
        Machine added = new Machine(name, "", new MachineKind("t8", "a", false), 0, 0);
        cluster.add(added);
        return added;
    }

    private Job addJob(int number, JobKind kind) {
        Job job = Fixtures.job(number, kind, 10);
        cluster.add(job);
        return job;
    }

    /** Binds the next task of the job, one second after the previous event. */
    private Binding bind(Job job, Machine target) {
        now += Durations.nanos(1);
        Binding binding = new Binding(job, (int) attempt % 10, ++attempt, target, Binding.Stage.COMMITTED, now);
        binding.recordPhase(Binding.Phase.RUNNING, now);
        return binding;
    }

    private void exit(Binding binding, ExitCause cause, double runS) {
        now += Durations.nanos(runS);
        tracker.recordExit(binding, cause, runS, now);
    }

    private void fail(Job job, Machine target) {
        exit(bind(job, target), ExitCause.ERROR, FAILED_RUN_S);
    }

    private void complete(Job job, Machine target) {
        exit(bind(job, target), ExitCause.DONE, 1);
    }

    private void cancel(Job job) {
        job.cancel(now, now);
        tracker.recordCancellation(job, now);
    }

    private void cordonMachine() {
        fail(firstJob, machine);
        assertFalse(machine.isUnschedulable());
        fail(secondJob, machine);
        assertTrue(machine.isUnschedulable());
    }

    private void assertCordonEnded() {
        assertFalse(machine.isUnschedulable());
        assertEquals(List.of(machine), availableMachines);
    }

    @Test
    void severalFailuresOfOneJobCordonNoMachine() {
        fail(firstJob, machine);
        fail(firstJob, machine);
        assertFalse(machine.isUnschedulable());
    }

    /** Guards against machines that stay cordoned because of jobs that were cancelled. */
    @Test
    void cancellationOfFailedJobEndsCordon() {
        cordonMachine();
        cancel(firstJob);
        assertCordonEnded();
    }

    /**
     * A cancelled job whose tasks completed on another machine was no faulty job, so the machine is still the likely
     * cause.
     */
    @Test
    void cancellationOfJobThatSucceededOnOtherMachineKeepsCordon() {
        cordonMachine();
        complete(firstJob, addMachine("i-2"));
        complete(secondJob, addMachine("i-3"));
        cancel(firstJob);
        cancel(secondJob);
        assertTrue(machine.isUnschedulable());
    }

    @Test
    void failureOfCancelledJobIsIgnored() {
        fail(firstJob, machine);
        Binding running = bind(secondJob, machine);
        cancel(secondJob);
        exit(running, ExitCause.ERROR, FAILED_RUN_S);
        assertFalse(machine.isUnschedulable());
    }

    /** Guards against machines that stay cordoned because of a job that later turned out to fail everywhere. */
    @Test
    void jobThatFailsOnThreeMachinesEndsCordon() {
        cordonMachine();
        fail(firstJob, addMachine("i-2"));
        assertTrue(machine.isUnschedulable());
        fail(firstJob, addMachine("i-3"));
        assertCordonEnded();
    }

    @Test
    void jobThatFailedOnThreeMachinesAndSucceedsAgainRestoresCordon() {
        cordonMachine();
        fail(firstJob, addMachine("i-2"));
        fail(firstJob, addMachine("i-3"));
        assertCordonEnded();
        complete(firstJob, addMachine("i-4"));
        assertTrue(machine.isUnschedulable());
    }

    /**
     * Guards against faulty machines that are used again because a job met three of them: other tasks of the job go on.
     */
    @Test
    void jobWithTaskThatRunsLongerThanFailedOnesIsNotTheCause() {
        cordonMachine();
        cluster.bind(bind(firstJob, addMachine("i-6")));
        now += Durations.nanos(2 * HEARTBEAT_INTERVAL_S);
        for (int i = 2; i < 5; i++) {
            fail(firstJob, addMachine("i-" + i));
        }
        assertTrue(machine.isUnschedulable());
        assertTrue(firstJob.retryAfter() <= now);
    }

    @Test
    void taskThatBeginsToRunLongerThanFailedOnesRestoresCordon() {
        cordonMachine();
        fail(firstJob, addMachine("i-2"));
        fail(firstJob, addMachine("i-3"));
        assertCordonEnded();
        Binding running = bind(firstJob, addMachine("i-4"));
        observeRunning(running, 2 * HEARTBEAT_INTERVAL_S - 1);
        assertFalse(machine.isUnschedulable());
        observeRunning(running, 1);
        assertTrue(machine.isUnschedulable());
        cancel(firstJob);
        assertFalse(machine.isUnschedulable());
    }

    /** A machine can fail every new task while its earlier tasks go on. */
    @Test
    void successOfTaskThatStartedBeforeFailuresKeepsCordon() {
        Binding earlier = bind(addJob(3, JobKind.ARRAY), machine);
        cordonMachine();
        exit(earlier, ExitCause.DONE, 1);
        assertTrue(machine.isUnschedulable());
    }

    @Test
    void successOfTaskThatStartedAfterFailuresEndsCordon() {
        cordonMachine();
        complete(addJob(3, JobKind.ARRAY), machine);
        assertCordonEnded();
    }

    @Test
    void successOfTaskThatStartedBetweenFailuresRefutesOnlyEarlierOnes() {
        fail(firstJob, machine);
        Binding between = bind(addJob(3, JobKind.ARRAY), machine);
        fail(secondJob, machine);
        assertTrue(machine.isUnschedulable());
        exit(between, ExitCause.DONE, 1);
        assertCordonEnded();
        fail(firstJob, machine);
        assertTrue(machine.isUnschedulable());
    }

    @Test
    void longRunOfReplicaThatStartedAfterFailuresEndsCordon() {
        cordonMachine();
        exit(bind(addJob(3, JobKind.SERVICE), machine), ExitCause.ERROR, LONG_RUN_S);
        assertCordonEnded();
    }

    /** Guards against a job that waits on account of failures that another of its tasks has refuted. */
    @Test
    void successOfTaskEndsRetryDelayOfItsJob() {
        Binding running = bind(firstJob, addMachine("i-5"));
        for (int i = 2; i < 5; i++) {
            fail(firstJob, addMachine("i-" + i));
        }
        assertTrue(firstJob.retryAfter() > now);
        exit(running, ExitCause.DONE, 1);
        assertTrue(firstJob.retryAfter() <= now);
    }

    /** However long the cancellation time is, the retry delay of a job stays below the users' limit of 90 s. */
    @Test
    void retryDelayIsAtMostOneMinute() {
        FailureTracker slowTracker =
                new FailureTracker(cluster, new Settings.Workers(5, 22, 600), new MachineCordons(m -> {}));
        for (int i = 2; i < 20; i++) {
            Binding binding = bind(firstJob, addMachine("i-" + i));
            slowTracker.recordExit(binding, ExitCause.ERROR, 0, now);
        }
        assertEquals(60, Durations.secondsSince(now, firstJob.retryAfter()));
    }

    private void observeRunning(Binding binding, double runS) {
        now += Durations.nanos(runS);
        tracker.recordRunning(binding, now);
    }

    /** A machine whose tasks run for hours must not stay cordoned until the first of them ends. */
    @Test
    void taskThatStartedAfterFailuresEndsCordonOnceItRunsStably() {
        cordonMachine();
        Binding running = bind(addJob(3, JobKind.ARRAY), machine);
        observeRunning(running, LEASE_S - 1);
        assertTrue(machine.isUnschedulable());
        observeRunning(running, 1);
        assertCordonEnded();
    }

    @Test
    void taskRunsStablyOnlyOnceItHasRunLongerThanTasksThatFailed() {
        exit(bind(firstJob, machine), ExitCause.ERROR, 20);
        exit(bind(secondJob, machine), ExitCause.ERROR, 5);
        Binding running = bind(addJob(3, JobKind.ARRAY), machine);
        observeRunning(running, LEASE_S);
        assertTrue(machine.isUnschedulable());
        observeRunning(running, 40 - LEASE_S);
        assertCordonEnded();
    }

    @Test
    void taskThatStartedBeforeFailuresKeepsCordonWhileItRuns() {
        Binding earlier = bind(addJob(3, JobKind.ARRAY), machine);
        cordonMachine();
        observeRunning(earlier, LONG_RUN_S);
        assertTrue(machine.isUnschedulable());
    }

    /** The failures of the service are then the fault of the machine, although the replica has not ended. */
    @Test
    void replicaThatRunsForLeaseConfirmsFailuresOnOtherMachine() {
        Job service = addJob(3, JobKind.SERVICE);
        exit(bind(service, machine), ExitCause.ERROR, FAILED_RUN_S);
        observeRunning(bind(service, addMachine("i-2")), LEASE_S);
        assertTrue(service.failedMachines().isEmpty());
        cancel(service);
        fail(firstJob, machine);
        assertTrue(machine.isUnschedulable());
    }

    @Test
    void earlyExitsOfReplicasOfTwoServicesCordonMachine() {
        fail(addJob(3, JobKind.SERVICE), machine);
        fail(addJob(4, JobKind.SERVICE), machine);
        assertTrue(machine.isUnschedulable());
    }
}
