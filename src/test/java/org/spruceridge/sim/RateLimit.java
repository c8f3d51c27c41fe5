package org.spruceridge.sim;

import java.util.function.LongSupplier;
import org.spruceridge.net.Durations;

/** A rate limit of the settings, with bursts of some seconds' worth: exceeding it fails the scenario. */
final class RateLimit {
    private final String unit;
    private final double perSecond;
    private final double burst;
    private final LongSupplier clock;
    private double available;
    private long updatedAt;

    RateLimit(String unit, double perSecond, double burstS, LongSupplier clock) {
        this.unit = unit;
        this.perSecond = perSecond;
        this.clock = clock;
        this.burst = perSecond * burstS;
        this.available = burst;
        this.updatedAt = clock.getAsLong();
    }

    /** True if so many permits are available now. */
    boolean allows(int count) {
        return Math.min(burst, available + Durations.seconds(clock.getAsLong() - updatedAt) * perSecond) >= count;
    }

    void take(int count) {
        long now = clock.getAsLong();
        available = Math.min(burst, available + Durations.seconds(now - updatedAt) * perSecond) - count;
        updatedAt = now;
        if (available < 0) {
            throw new AssertionError("limit: more than " + perSecond + " " + unit + " a second");
        }
    }
}
