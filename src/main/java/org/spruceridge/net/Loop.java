package org.spruceridge.net;

/** The event loop, whose one thread owns all state: its clocks and its timers. */
public interface Loop {
    /** The monotonic clock, in nanoseconds from an arbitrary moment. */
    long nanos();

    /** The time of day, in milliseconds of the epoch. */
    long wallMillis();

    /** Runs the task on this loop after a delay in nanoseconds. */
    Cancellable after(long delayNanos, Runnable task);

    /** True while requests are queued for this loop: background work should be put off until they are handled. */
    default boolean busy() {
        return false;
    }
}
