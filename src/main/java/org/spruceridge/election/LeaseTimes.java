package org.spruceridge.election;

import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;

/**
 * Durations of the leader lease.
 *
 * @param ttlNanos the time to live that the state service gives the lease
 * @param renewalIntervalNanos the time between two renewals
 */
record LeaseTimes(long ttlNanos, long renewalIntervalNanos) {
    /** The share of the time to live that is left unused, for rounding and late timers. */
    private static final double SAFETY_MARGIN = 0.03;

    private static final long NANOS_PER_MILLI = 1_000_000;

    static LeaseTimes of(Settings settings, Policy policy) {
        long ttlNanos = Durations.nanos(
                settings.workers().leaseS() * policy.leadership().ttlWorkerLeases());
        return new LeaseTimes(ttlNanos, (long) (ttlNanos / policy.leadership().renewalsPerTtl()));
    }

    long ttlMillis() {
        return ttlNanos / NANOS_PER_MILLI;
    }

    /** The time until a renewal that failed is sent again. */
    long renewalRetryNanos() {
        return renewalIntervalNanos / 4;
    }

    /** Until when a lease is certainly valid whose creation or renewal was sent at this moment. */
    long validUntilNanos(long sentAtNanos) {
        return sentAtNanos + (long) (ttlNanos * (1 - Durations.MAX_CLOCK_DRIFT_RATIO - SAFETY_MARGIN));
    }
}
