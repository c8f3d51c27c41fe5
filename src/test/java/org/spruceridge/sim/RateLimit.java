package org.spruceridge.sim;

import java.util.function.LongSupplier;
import org.spruceridge.net.Durations;

/** A rate limit of the settings, with bursts of some seconds' worth: exceeding it fails the scenario. */
final class RateLimit {
    private final String what;
    private final double perS;
    private final double burst;
    private final LongSupplier clock;
    private double left;
    private long at;

    RateLimit(String what, double perS, double burstS, LongSupplier clock) {
        this.what = what;
        this.perS = perS;
        this.clock = clock;
        this.burst = perS * burstS;
        this.left = burst;
        this.at = clock.getAsLong();
    }

    /** True if so many may be taken now. */
    boolean allows(int count) {
        return Math.min(burst, left + Durations.seconds(clock.getAsLong() - at) * perS) >= count;
    }

    void take(int count) {
        long now = clock.getAsLong();
        left = Math.min(burst, left + Durations.seconds(now - at) * perS) - count;
        at = now;
        if (left < 0) {
            throw new AssertionError("limit: more than " + perS + " " + what + " a second");
        }
    }
}
