package org.spruceridge.sim;

import java.util.function.LongSupplier;
import org.spruceridge.net.Durations;

/** A token bucket for a rate limit from the settings. Exceeding the limit fails the scenario. */
final class RateLimit {
    private final String unit;
    private final double tokensPerSecond;
    private final double burstTokens;
    private final LongSupplier clock;
    private double availableTokens;
    private long updatedAt;

    /**
     * The bucket holds the tokens of {@code burstS} seconds and is full at first; {@code unit} names a token in errors.
     */
    RateLimit(String unit, double perSecond, double burstS, LongSupplier clock) {
        this.unit = unit;
        this.tokensPerSecond = perSecond;
        this.clock = clock;
        this.burstTokens = perSecond * burstS;
        this.availableTokens = burstTokens;
        this.updatedAt = clock.getAsLong();
    }

    /** True if this many tokens are available now. */
    boolean allows(int tokens) {
        return Math.min(
                        burstTokens,
                        availableTokens + Durations.seconds(clock.getAsLong() - updatedAt) * tokensPerSecond)
                >= tokens;
    }

    /** Takes tokens; throws an {@link AssertionError} if too few are available. */
    void take(int tokens) {
        long now = clock.getAsLong();
        availableTokens =
                Math.min(burstTokens, availableTokens + Durations.seconds(now - updatedAt) * tokensPerSecond) - tokens;
        updatedAt = now;
        if (availableTokens < 0) {
            throw new AssertionError("rate limit exceeded: more than " + tokensPerSecond + " " + unit + " a second");
        }
    }
}
