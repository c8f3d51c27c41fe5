package org.spruceridge.cluster;

/**
 * The failures of one job's tasks on one machine. Either the machine or the job is the cause. All times are nanoseconds
 * on the monotonic clock.
 */
public final class JobFailures {
    private final Job job;
    private final long firstAt;
    private long lastAt;
    private int count;
    private double longestRunS;
    private boolean confirmed;

    JobFailures(Job job, long now) {
        this.job = job;
        this.firstAt = now;
    }

    void recordFailure(double runS, long now) {
        longestRunS = Math.max(longestRunS, runS);
        lastAt = now;
        count++;
    }

    /** The time of the first failure. */
    long firstAt() {
        return firstAt;
    }

    /** The time of the latest failure. */
    public long lastAt() {
        return lastAt;
    }

    /** The longest time for which a task that failed was seen running, in seconds. */
    double longestRunS() {
        return longestRunS;
    }

    /** The number of failures. */
    public int count() {
        return count;
    }

    /** True once a task of the job has completed after the first failure. The machine is then the cause. */
    boolean isConfirmed() {
        return confirmed;
    }

    void confirm() {
        confirmed = true;
    }

    /**
     * True if the machine is the likely cause. A job that was cancelled or that fails on many machines indicates no
     * fault of the machine, unless a task of the job completed in between.
     */
    boolean indicatesMachineFault() {
        return confirmed || !(job.isCancelled() || job.failsOnManyMachines());
    }
}
