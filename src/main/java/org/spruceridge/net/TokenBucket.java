package org.spruceridge.net;

/** A token bucket: fills at a rate and holds one second's worth, or a minimum capacity if that is more. */
final class TokenBucket {
    /** Tokens missing below this are a rounding error. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private double minCapacity;
    private double ratePerS;
    private double tokens;
    private long filledAt;

    /** Full at first; {@code now} is a moment of the monotonic clock, in nanoseconds. */
    TokenBucket(double ratePerS, double minCapacity, long now) {
        this.minCapacity = minCapacity;
        this.ratePerS = ratePerS;
        this.tokens = capacity();
        this.filledAt = now;
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

    /** Holds at least so many tokens when full; capacity that is gained is filled at once. */
    void setMinCapacity(double amount) {
        double before = capacity();
        minCapacity = Math.max(1, amount);
        tokens = Math.min(tokens + Math.max(0, capacity() - before), capacity());
    }

    /** Nanoseconds until so many tokens are there; of more than the capacity, until the bucket is full. */
    long waitNanos(int count, long now) {
        fill(now);
        double missing = Math.min(count, capacity()) - tokens;
        return missing <= ROUNDING_TOLERANCE ? 0 : Math.max(1, (long) (missing / ratePerS * 1e9));
    }

    /** Takes tokens, also more than there are; a negative count gives some back. */
    void take(int count) {
        tokens -= count;
    }

    private void fill(long now) {
        tokens = Math.min(capacity(), tokens + ratePerS * (now - filledAt) / 1e9);
        filledAt = now;
    }
}
