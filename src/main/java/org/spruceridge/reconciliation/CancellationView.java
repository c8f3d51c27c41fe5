package org.spruceridge.reconciliation;

import java.util.OptionalDouble;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/** Tracks the staleness of the leader's view of cancellations: the time up to which it includes all confirmed ones. */
final class CancellationView {
    private static final long NEVER = Long.MIN_VALUE;

    private final Loop loop;
    private final long maxAgeNanos;
    private long completeUpTo = NEVER;

    CancellationView(Loop loop, long maxAgeNanos) {
        this.loop = loop;
        this.maxAgeNanos = maxAgeNanos;
    }

    /** Records that the view is complete up to this time on the monotonic clock, in nanoseconds. */
    void recordCompleteUpTo(long timeNanos) {
        completeUpTo = Math.max(completeUpTo, timeNanos);
    }

    /**
     * The time up to which the view is complete, in nanoseconds; {@link Long#MIN_VALUE} if it has never been complete.
     */
    long completeUpTo() {
        return completeUpTo;
    }

    boolean isUpToDate() {
        return completeUpTo != NEVER && loop.nanos() - completeUpTo < maxAgeNanos;
    }

    /** The age of the view in seconds; empty if it has never been complete. */
    OptionalDouble ageS() {
        return completeUpTo == NEVER
                ? OptionalDouble.empty()
                : OptionalDouble.of(Durations.secondsSince(completeUpTo, loop.nanos()));
    }
}
