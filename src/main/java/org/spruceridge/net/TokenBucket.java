package org.spruceridge.net;

/** A token bucket. Its capacity is one second's worth of tokens, or the minimum capacity if that is larger. */
final class TokenBucket {
    /** The maximum number of missing tokens that is ignored as a rounding error. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private double minCapacity;
    private double ratePerS;
    private double tokens;
    private long filledAtNanos;

    /** Creates a full bucket; {@code now} is a reading of the monotonic clock in nanoseconds. */
    TokenBucket(double ratePerS, double minCapacity, long now) {
        this.minCapacity = minCapacity;
        this.ratePerS = ratePerS;
        this.tokens = capacity();
        this.filledAtNanos = now;
    }

    private double capacity() {
        return Math.max(minCapacity, ratePerS);
    }

    double ratePerS() {
        return ratePerS;
    }

    void setRate(double newRatePerS, long now) {
        fill(now);
        ratePerS = newRatePerS;
        tokens = Math.min(tokens, capacity());
    }

    /** Sets the minimum capacity, at least 1. Added capacity is filled with tokens immediately. */
    void setMinCapacity(double newMinCapacity) {
        double oldCapacity = capacity();
        minCapacity = Math.max(1, newMinCapacity);
        tokens = Math.min(tokens + Math.max(0, capacity() - oldCapacity), capacity());
    }

    /**
     * Returns the nanoseconds until {@code count} tokens are available. If the capacity is smaller than {@code count},
     * returns the nanoseconds until the bucket is full.
     */
    long waitNanos(int count, long now) {
        fill(now);
        double missingTokens = Math.min(count, capacity()) - tokens;
        return missingTokens <= ROUNDING_TOLERANCE ? 0 : Math.max(1, (long) (missingTokens / ratePerS * 1e9));
    }

    /** Takes tokens. The balance may become negative; a negative count returns tokens. */
    void take(int count) {
        tokens -= count;
    }

    private void fill(long now) {
        tokens = Math.min(capacity(), tokens + ratePerS * (now - filledAtNanos) / 1e9);
        filledAtNanos = now;
    }
}
