package org.spruceridge.reconciliation;

import java.util.OptionalDouble;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/**
 * The age of the leader's view of cancelled jobs. The view is complete up to a time if it includes every cancellation
 * that was confirmed to a user before that time.
 */
final class CancellationView {
    private static final long NEVER = Long.MIN_VALUE;

    private final Loop loop;
    private final long maxAgeNanos;
    private long completeUpTo = NEVER;

    CancellationView(Loop loop, long maxAgeNanos) {
        this.loop = loop;
        this.maxAgeNanos = maxAgeNanos;
    }

    /** Records that the view is complete up to this time, on the monotonic clock in nanoseconds. */
    void recordCompleteUpTo(long timeNanos) {
        completeUpTo = Math.max(completeUpTo, timeNanos);
    }

    /**
     * The time up to which the view is complete, on the monotonic clock in nanoseconds; {@link Long#MIN_VALUE} if no
     * such time has been recorded yet.
     */
    long completeUpTo() {
        return completeUpTo;
    }

    boolean isUpToDate() {
        return completeUpTo != NEVER && loop.nanos() - completeUpTo < maxAgeNanos;
    }

    /** The time since {@link #completeUpTo}, in seconds; empty if no such time has been recorded yet. */
    OptionalDouble ageS() {
        return completeUpTo == NEVER
                ? OptionalDouble.empty()
                : OptionalDouble.of(Durations.secondsSince(completeUpTo, loop.nanos()));
    }
}
