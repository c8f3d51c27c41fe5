package org.spruceridge.net;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The pending timers and callbacks of one component. Once the scope is closed, no timer fires and no guarded callback
 * runs.
 */
public final class CancellationScope {
    private final Loop loop;
    private final Set<Timer> timers = new HashSet<>();
    private boolean isClosed;

    /** Creates an open scope whose timers run on this loop. */
    public CancellationScope(Loop loop) {
        this.loop = loop;
    }

    /** Runs the task after a delay in nanoseconds unless the scope is closed first. */
    public Cancellable after(long delayNanos, Runnable task) {
        Timer timer = new Timer(task);
        if (!isClosed) {
            timers.add(timer);
            timer.loopTimer = loop.after(delayNanos, timer);
        }
        return timer;
    }

    /** Returns a callback that calls {@code callback} while the scope is open, and does nothing once it is closed. */
    public <T> Consumer<T> guard(Consumer<T> callback) {
        return value -> {
            if (!isClosed) {
                callback.accept(value);
            }
        };
    }

    /** True once the scope has been closed. */
    public boolean isClosed() {
        return isClosed;
    }

    /** Cancels all pending timers and disables all callbacks. */
    public void close() {
        isClosed = true;
        for (Timer timer : Set.copyOf(timers)) {
            timer.cancel();
        }
    }

    private final class Timer implements Runnable, Cancellable {
        private final Runnable task;
        private Cancellable loopTimer = () -> {};

        Timer(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            timers.remove(this);
            if (!isClosed) {
                task.run();
            }
        }

        @Override
        public void cancel() {
            timers.remove(this);
            loopTimer.cancel();
        }
    }
}
