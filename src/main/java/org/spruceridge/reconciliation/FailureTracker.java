package org.spruceridge.reconciliation;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;

/**
 * Distinguishes faulty machines from faulty jobs by the exits of tasks. Faulty machines are cordoned, and faulty jobs
 * are retried with exponential backoff.
 */
final class FailureTracker {
    private static final Logger LOG = LoggerFactory.getLogger(FailureTracker.class);

    /** A machine is cordoned when tasks of this many jobs have failed on it. */
    private static final int FAILED_JOBS_BEFORE_CORDON = 2;
    /**
     * The count of consecutive early exits of replicas restarts if the previous early exit is more than this many
     * cancellation times ago. The cancellation time is also the maximum backoff.
     */
    private static final double EARLY_EXIT_WINDOW_IN_CANCEL_TIMES = 2;

    private static final int MAX_BACKOFF_DOUBLINGS = 16;

    private final Settings.Workers workers;

    FailureTracker(Settings.Workers workers) {
        this.workers = workers;
    }

    /**
     * Records that a task exited without being stopped. {@code elapsedS} is the time for which the leader saw the task
     * running, in seconds.
     */
    void recordExit(Binding binding, ExitCause cause, double elapsedS, long now) {
        Job job = binding.job();
        Machine machine = binding.machine();
        if (job.spec().isService()) {
            recordReplicaExit(job, machine, elapsedS, now);
        } else if (cause == ExitCause.ERROR) {
            recordFailure(job, machine, now);
        } else {
            machine.suspicion().failedJobs().clear();
            job.failedMachines().clear();
        }
    }

    /** Records that a worker refused to start a task of the job. */
    void recordRefusedStart(Job job, long now) {
        delayRetry(job, workers.heartbeatIntervalS(), now);
    }

    /**
     * Failures of several jobs on one machine indicate a faulty machine. Failures of one job on many machines indicate
     * a faulty job.
     */
    private void recordFailure(Job job, Machine machine, long now) {
        job.failedMachines().add(machine.name());
        machine.suspicion().failedJobs().add(job.id());
        LOG.info("task failed job={} machine={}", job.id(), machine.name());
        if (isFaulty(machine, job)) {
            machine.suspicion().cordon();
            LOG.info(
                    "machine cordoned machine={} reason=task-failures failedJobs={}",
                    machine.name(),
                    machine.suspicion().failedJobs());
        }
        if (job.failsOnManyMachines()) {
            backOff(job, job.failedMachines().size(), now);
        }
    }

    private static boolean isFaulty(Machine machine, Job job) {
        return !machine.suspicion().isCordoned()
                && machine.suspicion().failedJobs().size() >= FAILED_JOBS_BEFORE_CORDON
                && !job.failsOnManyMachines();
    }

    /**
     * Records that a replica exited without being stopped, although replicas should run until they are stopped. The
     * replica is restarted immediately. After an early exit, the replica is restarted on another machine. Exponential
     * backoff applies once the number of consecutive early exits exceeds the number of replicas of the service.
     */
    private void recordReplicaExit(Job job, Machine machine, double elapsedS, long now) {
        if (elapsedS >= workers.leaseS()) {
            job.recordStableRun();
            return;
        }
        recordFailure(job, machine, now);
        job.countEarlyExit(now, Durations.nanos(EARLY_EXIT_WINDOW_IN_CANCEL_TIMES * workers.cancelS()));
        int excessExits = job.earlyExits() - job.spec().taskCount();
        if (excessExits > 0) {
            backOff(job, Math.min(excessExits, MAX_BACKOFF_DOUBLINGS), now);
        }
    }

    /**
     * Delays the retry by the heartbeat interval, doubled {@code doublings} times. The configured cancellation time is
     * the maximum delay.
     */
    private void backOff(Job job, int doublings, long now) {
        double backoffS = workers.heartbeatIntervalS() * Math.pow(2, doublings);
        delayRetry(job, Math.min(backoffS, workers.cancelS()), now);
    }

    private static void delayRetry(Job job, double delayS, long now) {
        job.retryAfter(Math.max(job.retryAfter(), now + Durations.nanos(delayS)));
    }
}
