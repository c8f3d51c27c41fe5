package org.spruceridge.net;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** All that one duty has pending. Once closed, no timer fires and no callback made through it runs. */
public final class CancellationScope {
    private final Loop loop;
    private final Set<Timer> timers = new HashSet<>();
    private boolean closed;

    /** Timers run on this loop. */
    public CancellationScope(Loop loop) {
        this.loop = loop;
    }

    /** Runs the task after a delay unless the scope is closed first. */
    public Cancellable after(long delayNanos, Runnable task) {
        Timer timer = new Timer(task);
        if (!closed) {
            timers.add(timer);
            timer.pending = loop.after(delayNanos, timer);
        }
        return timer;
    }

    /** A callback that does nothing once the scope is closed. */
    public <T> Consumer<T> guard(Consumer<T> callback) {
        return value -> {
            if (!closed) {
                callback.accept(value);
            }
        };
    }

    /** True once it has been closed. */
    public boolean isClosed() {
        return closed;
    }

    /** Cancels all that is pending. */
    public void close() {
        closed = true;
        for (Timer timer : Set.copyOf(timers)) {
            timer.cancel();
        }
    }

    private final class Timer implements Runnable, Cancellable {
        private final Runnable task;
        private Cancellable pending = () -> {};

        Timer(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            timers.remove(this);
            if (!closed) {
                task.run();
            }
        }

        @Override
        public void cancel() {
            timers.remove(this);
            pending.cancel();
        }
    }
}
