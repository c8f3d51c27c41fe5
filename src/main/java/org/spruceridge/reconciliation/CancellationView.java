package org.spruceridge.reconciliation;

import java.util.OptionalDouble;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/** How recent the leader's view of cancellations is: up to which moment all confirmed ones are in the cluster state. */
final class CancellationView {
    private static final long NEVER = Long.MIN_VALUE;

    private final Loop loop;
    private final long maxAgeNanos;
    private long completeUpTo = NEVER;

    CancellationView(Loop loop, long maxAgeNanos) {
        this.loop = loop;
        this.maxAgeNanos = maxAgeNanos;
    }

    /** Records that the view is complete up to a moment on the steady clock, in nanoseconds. */
    void recordCompleteUpTo(long moment) {
        completeUpTo = Math.max(completeUpTo, moment);
    }

    /** The moment up to which the view is complete; before all others if it never was. */
    long completeUpTo() {
        return completeUpTo;
    }

    boolean isUpToDate() {
        return completeUpTo != NEVER && loop.nanos() - completeUpTo < maxAgeNanos;
    }

    /** The age of the view in seconds; empty if it never was complete. */
    OptionalDouble ageS() {
        return completeUpTo == NEVER
                ? OptionalDouble.empty()
                : OptionalDouble.of(Durations.secondsSince(completeUpTo, loop.nanos()));
    }
}
