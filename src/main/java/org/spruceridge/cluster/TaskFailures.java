package org.spruceridge.cluster;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The failures of tasks on one machine that no later task has refuted, by job. The machine is <em>cordoned</em> while
 * the failures of several jobs indicate that the machine is faulty. All times are nanoseconds on the monotonic clock.
 */
public final class TaskFailures {
    private final Map<String, JobFailures> failuresByJob = new LinkedHashMap<>();
    private long cordonedSince = EventTimes.NOT_HAPPENED;

    TaskFailures() {}

    /** Records that a task of the job failed on the machine. */
    public void record(Job job, long now) {
        failuresByJob.computeIfAbsent(job.id(), id -> new JobFailures(job, now));
    }

    /** True if no failure is recorded. */
    public boolean isEmpty() {
        return failuresByJob.isEmpty();
    }

    /** True if a failure of a task of this job is recorded. */
    public boolean contains(Job job) {
        return !failuresByJob.isEmpty() && failuresByJob.containsKey(job.id());
    }

    /** Records that a task of the job has completed since the job's failures. The job is then not their cause. */
    public void confirm(Job job) {
        JobFailures failures = failuresByJob.get(job.id());
        if (failures != null) {
            failures.confirm();
        }
    }

    /** Removes the failures of a job that was cancelled before a task of the job completed. */
    public void withdrawUnconfirmed(Job job) {
        failuresByJob.computeIfPresent(job.id(), (id, failures) -> failures.isConfirmed() ? failures : null);
    }

    /**
     * Removes the failures that a successful task refutes: those of all jobs whose tasks first failed before the task
     * was bound to the machine, at {@code boundAt}. A task that was bound earlier refutes nothing, because a machine can
     * fail every new task while its earlier tasks go on.
     */
    public void refuteBefore(long boundAt) {
        failuresByJob.values().removeIf(failures -> failures.firstAt() < boundAt);
    }

    /** The ids of the jobs whose tasks failed, in the order of their first failures. */
    public Set<String> jobIds() {
        return failuresByJob.keySet();
    }

    /** The number of jobs whose failures indicate that the machine is faulty. */
    public int countFaultIndications() {
        int count = 0;
        for (JobFailures failures : failuresByJob.values()) {
            count += failures.indicatesMachineFault() ? 1 : 0;
        }
        return count;
    }

    /** True if the scheduler places no more tasks on the machine because tasks of several jobs failed on it. */
    public boolean isCordoned() {
        return EventTimes.hasHappened(cordonedSince);
    }

    /** Excludes the machine from scheduling until {@link #endCordon}. */
    public void cordon(long now) {
        cordonedSince = now;
    }

    /** Makes the machine schedulable again. */
    public void endCordon() {
        cordonedSince = EventTimes.NOT_HAPPENED;
    }
}
