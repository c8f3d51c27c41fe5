package org.spruceridge.net;

/** Conversions between the seconds of the settings and the nanoseconds of the clocks. */
public final class Durations {
    /** The most by which two monotonic clocks drift apart, as a share of the time that passes. */
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

    /** Seconds from one moment of the monotonic clock to another, both in nanoseconds. */
    public static double secondsSince(long moment, long now) {
        return seconds(now - moment);
    }

    /** Milliseconds as nanoseconds. */
    public static long millis(double millis) {
        return (long) (millis * 1e6);
    }
}
