package org.spruceridge.election;

import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;

/**
 * Timing of the leader lease.
 *
 * @param ttlNanos the time to live of the lease in the state service
 * @param renewalIntervalNanos the time between two renewals
 */
record LeaseTimes(long ttlNanos, long renewalIntervalNanos) {
    /** The fraction of the TTL that is left unused as a margin for rounding and late timers. */
    private static final double SAFETY_MARGIN_RATIO = 0.03;

    private static final long NANOS_PER_MILLI = 1_000_000;

    static LeaseTimes of(Settings settings, Policy policy) {
        long ttlNanos = Durations.nanos(
                settings.workers().leaseS() * policy.leadership().ttlWorkerLeases());
        return new LeaseTimes(ttlNanos, (long) (ttlNanos / policy.leadership().renewalsPerTtl()));
    }

    long ttlMillis() {
        return ttlNanos / NANOS_PER_MILLI;
    }

    /** The delay before a failed renewal is retried. */
    long renewalRetryNanos() {
        return renewalIntervalNanos / 4;
    }

    /**
     * The time until which a lease is guaranteed to be valid if its creation or renewal was sent at
     * {@code sentAtNanos}.
     */
    long validUntilNanos(long sentAtNanos) {
        return sentAtNanos + (long) (ttlNanos * (1 - Durations.MAX_CLOCK_DRIFT_RATIO - SAFETY_MARGIN_RATIO));
    }
}
