package org.spruceridge.net;

/** The one thread that owns all state, as its duties see it: two clocks and work put off. */
public interface Loop {
    /** The steady clock, in nanoseconds from an arbitrary moment. */
    long nanos();

    /** The time of day, in milliseconds of the epoch. */
    long wallMillis();

    /** Runs the task on this loop after a delay. */
    Cancellable after(long delayNanos, Runnable task);

    /** True while requests wait for this loop's time: what can wait longer than they should let them go first. */
    default boolean busy() {
        return false;
    }
}
