package org.spruceridge.net;

/** The clocks and timers of the event loop, whose single thread owns all state. */
public interface Loop {
    /** The monotonic clock, in nanoseconds since an arbitrary origin. */
    long nanos();

    /** The wall-clock time, in milliseconds since the epoch. */
    long wallMillis();

    /** Runs the task on this loop after a delay in nanoseconds. */
    Cancellable after(long delayNanos, Runnable task);

    /**
     * True while requests are queued for this loop. Background work should be postponed until these requests are
     * handled.
     */
    default boolean busy() {
        return false;
    }
}
