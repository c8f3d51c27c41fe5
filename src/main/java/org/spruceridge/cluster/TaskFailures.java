package org.spruceridge.cluster;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The failures of tasks on one machine that no later task has refuted, by job. The machine is <em>cordoned</em> while
 * the failures of several jobs indicate that the machine is faulty. All times are nanoseconds on the monotonic clock.
 */
public final class TaskFailures {
    private final Map<String, JobFailures> failuresByJob = new LinkedHashMap<>();
    private long cordonedSince = EventTimes.NOT_HAPPENED;

    TaskFailures() {}

    /** Records that a task of the job failed on the machine, after it was seen running for {@code runS} seconds. */
    public void record(Job job, double runS, long now) {
        failuresByJob.computeIfAbsent(job.id(), id -> new JobFailures(job, now)).recordFailure(runS, now);
    }

    /** True if no failure is recorded. */
    public boolean isEmpty() {
        return failuresByJob.isEmpty();
    }

    /** True if a failure of a task of this job is recorded. */
    public boolean contains(Job job) {
        return !failuresByJob.isEmpty() && failuresByJob.containsKey(job.id());
    }

    /** The failures of this job's tasks; empty if none is recorded. */
    public Optional<JobFailures> of(Job job) {
        return Optional.ofNullable(failuresByJob.get(job.id()));
    }

    /**
     * The time of the latest failure that said something new about the machine: the first failure of a job, or the
     * beginning of the cordon. Meaningful only if the machine is cordoned.
     */
    public long lastIndicationAt() {
        return failuresByJob.values().stream().mapToLong(JobFailures::firstAt).reduce(cordonedSince, Math::max);
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

    /** The longest time for which a task that failed was seen running, in seconds; 0 if no failure is recorded. */
    public double longestRunS() {
        return failuresByJob.values().stream()
                .mapToDouble(JobFailures::longestRunS)
                .max()
                .orElse(0);
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

    /** True if the failures of at least {@code jobCount} jobs are confirmed: a task of each has completed since. */
    public boolean isConfirmedBy(int jobCount) {
        return failuresByJob.values().stream().filter(JobFailures::isConfirmed).count() >= jobCount;
    }

    /** The time of the beginning of the cordon. Meaningful only if the machine is cordoned. */
    public long cordonedSince() {
        return cordonedSince;
    }

    /** True if the scheduler places only trials on the machine because tasks of several jobs failed on it. */
    public boolean isCordoned() {
        return EventTimes.hasHappened(cordonedSince);
    }

    /**
     * True if a task that was bound to the machine at {@code boundAt} must not be started there any more, because the
     * machine was cordoned afterwards. A task that is bound to a cordoned machine is a trial and may be started.
     */
    public boolean forbidsStart(long boundAt) {
        return isCordoned() && boundAt <= cordonedSince;
    }

    /** True if a task that was bound to the machine at {@code boundAt} is a trial on a cordoned machine. */
    public boolean isTrial(long boundAt) {
        return isCordoned() && boundAt > cordonedSince;
    }

    /** Excludes the machine from scheduling, except for trials, until {@link #endCordon}. */
    public void cordon(long now) {
        cordonedSince = now;
    }

    /** Makes the machine schedulable again. */
    public void endCordon() {
        cordonedSince = EventTimes.NOT_HAPPENED;
    }
}
