package org.spruceridge.net;

/** Durations of the settings, in seconds, as nanoseconds. */
public final class Durations {
    /** The most that two steady clocks drift apart. */
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

    /** Seconds from one moment of the steady clock to another. */
    public static double secondsSince(long moment, long now) {
        return seconds(now - moment);
    }

    /** Milliseconds as nanoseconds. */
    public static long millis(double millis) {
        return (long) (millis * 1e6);
    }
}
