package org.spruceridge.net;

/** Conversions between seconds, as in the settings, and nanoseconds, as in the clocks. */
public final class Durations {
    /** The maximum drift between two monotonic clocks, relative to the elapsed time. */
    public static final double MAX_CLOCK_DRIFT_RATIO = 0.0005;

    private Durations() {}

    /** Seconds as nanoseconds. */
    public static long nanos(double seconds) {
        return (long) (seconds * 1e9);
    }

    /** Nanoseconds as seconds. */
    public static double seconds(long nanos) {
        return nanos / 1e9;
    }

    /** Seconds between two readings of the monotonic clock, which are in nanoseconds. */
    public static double secondsSince(long startNanos, long nowNanos) {
        return seconds(nowNanos - startNanos);
    }

    /** Milliseconds as nanoseconds. */
    public static long millis(double millis) {
        return (long) (millis * 1e6);
    }
}
