package org.spruceridge.reconciliation;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.TaskFailures;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;

/**
 * Distinguishes faulty machines from faulty jobs by the exits of tasks and by cancellations. Faulty machines are
 * cordoned, and faulty jobs are retried with exponential backoff.
 */
final class FailureTracker {
    private static final Logger LOG = LoggerFactory.getLogger(FailureTracker.class);

    /**
     * The count of consecutive early exits of replicas restarts if the previous early exit is more than this many
     * cancellation times ago.
     */
    private static final double EARLY_EXIT_WINDOW_IN_CANCEL_TIMES = 2;

    private static final int MAX_BACKOFF_DOUBLINGS = 16;

    /** The maximum backoff. No job is to wait for 90 s while a machine that fits has room. */
    private static final double MAX_BACKOFF_S = 60;

    /** A task runs stably once it has run for this many times as long as the tasks that failed on its machine. */
    private static final double STABLE_RUN_IN_FAILED_RUNS = 2;

    /** A task whose run is shorter than this many heartbeat intervals shows nothing about its job. */
    private static final double MIN_HEALTHY_RUN_HEARTBEATS = 2;

    /** The maximum time until a task counts as running stably. No job is to wait for 90 s for a machine with room. */
    private static final double MAX_STABLE_RUN_S = 45;

    private final Cluster cluster;
    private final Settings.Workers workers;
    private final MachineCordons cordons;

    FailureTracker(Cluster cluster, Settings.Workers workers, MachineCordons cordons) {
        this.cluster = cluster;
        this.workers = workers;
        this.cordons = cordons;
    }

    /**
     * Records that a task exited without being stopped. {@code elapsedS} is the time for which the leader saw the task
     * running, in seconds.
     */
    void recordExit(Binding binding, ExitCause cause, double elapsedS, long now) {
        Job job = binding.job();
        if (job.spec().isService()) {
            recordReplicaExit(binding, elapsedS, now);
        } else if (cause == ExitCause.ERROR) {
            recordFailure(job, binding.machine(), elapsedS, now);
        } else {
            recordSuccess(binding, "task-completed", now);
        }
    }

    /**
     * Records that a heartbeat lists the task as running. A task that runs for longer than the tasks that failed refutes
     * earlier failures on its machine, before it ends. A replica that runs for a lease counts as a success.
     */
    void recordRunning(Binding binding, long now) {
        Job job = binding.job();
        TaskFailures failures = binding.machine().taskFailures();
        if (failures.isEmpty() && job.failedMachines().isEmpty()) {
            return;
        }
        double runS = binding.runTimeS(now);
        if (!job.failedMachines().isEmpty() && runS >= healthyRunS(job)) {
            clearJob(job, now);
        }
        if (job.spec().isService() && runS >= workers.leaseS()) {
            recordSuccess(binding, "replica-runs-stably", now);
        } else if (runS >= stableRunS(failures)) {
            failures.refuteBefore(binding.createdAt());
            cordons.update(binding.machine(), "task-runs-stably", now);
        }
    }

    /**
     * The run time from which a task shows that its job is in order, in seconds. A job with a mistake fails on every
     * machine, so none of its tasks runs for longer than those that failed.
     */
    private double healthyRunS(Job job) {
        return Math.max(
                MIN_HEALTHY_RUN_HEARTBEATS * workers.heartbeatIntervalS(),
                STABLE_RUN_IN_FAILED_RUNS * job.longestFailedRunS());
    }

    /** Records that the job is not the cause of its failures: each of them indicates a faulty machine again. */
    private void clearJob(Job job, long now) {
        job.failedMachines().clear();
        job.endRetryDelay();
        failedMachines(job).forEach(failed -> cordons.update(failed, "job-runs-on-other-machine", now));
    }

    private double stableRunS(TaskFailures failures) {
        double minRunS = Math.min(STABLE_RUN_IN_FAILED_RUNS * failures.longestRunS(), MAX_STABLE_RUN_S);
        return Math.max(minRunS, workers.leaseS());
    }

    /** Records that a worker refused to start a task of the job. */
    void recordRefusedStart(Job job, long now) {
        delayRetry(job, workers.heartbeatIntervalS(), now);
    }

    /**
     * Records that the job was cancelled. Its failures then indicate no faulty machine, unless a task of the job has
     * completed since.
     */
    void recordCancellation(Job job, long now) {
        for (Machine machine : failedMachines(job)) {
            machine.taskFailures().withdrawUnconfirmed(job);
            cordons.update(machine, "job-cancelled", now);
        }
    }

    /**
     * Failures of several jobs on one machine indicate a faulty machine. Failures of one job on many machines indicate
     * a faulty job, and then no faulty machine.
     */
    private void recordFailure(Job job, Machine machine, double elapsedS, long now) {
        LOG.info("task failed job={} machine={}", job.id(), machine.name());
        if (job.isCancelled()) {
            return;
        }
        job.recordFailure(machine, elapsedS);
        machine.taskFailures().record(job, elapsedS, now);
        if (job.hasTaskRunningFor(healthyRunS(job), now)) {
            clearJob(job, now);
        }
        cordons.update(machine, "task-failures", now);
        if (job.failsOnManyMachines()) {
            failedMachines(job).forEach(failed -> cordons.update(failed, "job-fails-on-many-machines", now));
            backOff(job, job.failedMachines().size(), now);
        }
    }

    /**
     * Records that a task succeeded. This refutes earlier failures on its machine, and shows that the machines on which
     * other tasks of the job failed are the cause of those failures.
     */
    private void recordSuccess(Binding binding, String reason, long now) {
        Job job = binding.job();
        Machine machine = binding.machine();
        machine.taskFailures().refuteBefore(binding.createdAt());
        cordons.update(machine, reason, now);
        job.endRetryDelay();
        job.failedMachines().clear();
        for (Machine failed : failedMachines(job)) {
            failed.taskFailures().confirm(job);
            cordons.update(failed, "job-succeeded-on-other-machine", now);
        }
    }

    private List<Machine> failedMachines(Job job) {
        if (!job.hasFailed()) {
            return List.of();
        }
        return cluster.machines().stream()
                .filter(machine -> machine.taskFailures().contains(job))
                .toList();
    }

    /**
     * Records that a replica exited without being stopped, although replicas should run until they are stopped. The
     * replica is restarted immediately. After an early exit, the replica is restarted on another machine. Exponential
     * backoff applies once the number of consecutive early exits exceeds the number of replicas of the service.
     */
    private void recordReplicaExit(Binding binding, double elapsedS, long now) {
        Job job = binding.job();
        if (elapsedS >= workers.leaseS()) {
            job.resetEarlyExits();
            recordSuccess(binding, "replica-runs-stably", now);
            return;
        }
        recordFailure(job, binding.machine(), elapsedS, now);
        job.countEarlyExit(now, Durations.nanos(EARLY_EXIT_WINDOW_IN_CANCEL_TIMES * workers.cancelS()));
        int excessExits = job.earlyExits() - job.spec().taskCount();
        if (excessExits > 0) {
            backOff(job, Math.min(excessExits, MAX_BACKOFF_DOUBLINGS), now);
        }
    }

    /**
     * Delays the retry by the heartbeat interval, doubled {@code doublings} times. The maximum delay is the configured
     * cancellation time, but at most {@link #MAX_BACKOFF_S}.
     */
    private void backOff(Job job, int doublings, long now) {
        double backoffS = workers.heartbeatIntervalS() * Math.pow(2, doublings);
        delayRetry(job, Math.min(backoffS, Math.min(workers.cancelS(), MAX_BACKOFF_S)), now);
    }

    private static void delayRetry(Job job, double delayS, long now) {
        job.retryAfter(Math.max(job.retryAfter(), now + Durations.nanos(delayS)));
    }
}
