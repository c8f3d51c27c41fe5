package org.spruceridge.net;

/** Conversions between seconds, the unit of the settings, and nanoseconds, the unit of the clocks. */
public final class Durations {
    /** The maximum drift between two monotonic clocks, relative to the elapsed time. */
    public static final double MAX_CLOCK_DRIFT_RATIO = 0.0005;

    private Durations() {}

    /** Converts seconds to nanoseconds. */
    public static long nanos(double seconds) {
        return (long) (seconds * 1e9);
    }

    /** Converts nanoseconds to seconds. */
    public static double seconds(long nanos) {
        return nanos / 1e9;
    }

    /** Returns the seconds between two readings of the monotonic clock, both in nanoseconds. */
    public static double secondsSince(long startNanos, long nowNanos) {
        return seconds(nowNanos - startNanos);
    }

    /** Converts milliseconds to nanoseconds. */
    public static long millis(double millis) {
        return (long) (millis * 1e6);
    }
}
