package org.spruceridge.sim;

import java.util.function.LongSupplier;
import org.spruceridge.net.Durations;

/** A token bucket for a rate limit from the settings. Exceeding the limit fails the scenario. */
final class RateLimit {
    private final String unit;
    private final double perSecond;
    private final double burst;
    private final LongSupplier clock;
    private double available;
    private long updatedAt;

    /** The bucket holds {@code burstS} seconds' worth of tokens and is full at first. */
    RateLimit(String unit, double perSecond, double burstS, LongSupplier clock) {
        this.unit = unit;
        this.perSecond = perSecond;
        this.clock = clock;
        this.burst = perSecond * burstS;
        this.available = burst;
        this.updatedAt = clock.getAsLong();
    }

    /** True if this many tokens are available now. */
    boolean allows(int tokens) {
        return Math.min(burst, available + Durations.seconds(clock.getAsLong() - updatedAt) * perSecond) >= tokens;
    }

    /** Takes tokens; throws an {@link AssertionError} if they are not available. */
    void take(int tokens) {
        long now = clock.getAsLong();
        available = Math.min(burst, available + Durations.seconds(now - updatedAt) * perSecond) - tokens;
        updatedAt = now;
        if (available < 0) {
            throw new AssertionError("rate limit exceeded: more than " + perSecond + " " + unit + " a second");
        }
    }
}
