package org.spruceridge.progress;

import org.spruceridge.net.Durations;

/** How old information about the progress of a job may be when it answers a user. */
public final class ProgressFreshness {
    /** The lag of the state that the protocol allows, in seconds. */
    private static final double MAX_STATE_LAG_S = 3;
    /** The time after which the leader can learn of a change: a worker sends at most two heartbeats per second. */
    private static final double WORKER_DELAY_S = 0.5;
    /** The time for which the leader may have been paused unnoticed, and for the transfer of messages. */
    private static final double TRANSFER_S = 0.5;

    private static final long MAX_REPORT_AGE_NANOS = Durations.nanos(MAX_STATE_LAG_S - WORKER_DELAY_S - TRANSFER_S);

    private final long maxSubmissionAgeMillis;
    private final long clockErrorMillis;

    /** {@code clockErrorBoundMillis} is the maximum error of the wall clock of each node. */
    public ProgressFreshness(double clockErrorBoundMillis) {
        this.clockErrorMillis = (long) Math.ceil(2 * clockErrorBoundMillis);
        this.maxSubmissionAgeMillis = (long) (MAX_STATE_LAG_S * 1000) - clockErrorMillis;
    }

    /** True if a report of this age can answer a user. */
    public static boolean isCurrent(long ageNanos) {
        return ageNanos <= MAX_REPORT_AGE_NANOS;
    }

    /**
     * True if a job that was submitted at {@code submittedMillis} may be called pending, whatever its tasks do now. A
     * time further ahead than the clock error allows comes from a faulty clock, and its age is not known.
     */
    public boolean isNewSubmission(long submittedMillis, long nowMillis) {
        long ageMillis = nowMillis - submittedMillis;
        return ageMillis >= -clockErrorMillis && ageMillis <= maxSubmissionAgeMillis;
    }
}
