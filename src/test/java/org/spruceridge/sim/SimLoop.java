package org.spruceridge.sim;

import org.spruceridge.net.Cancellable;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.ManualLoop;

/** An event loop in simulated time: tasks run in the order of their due times, and time advances only between them. */
public final class SimLoop implements Loop {
    private final ManualLoop manualLoop = new ManualLoop();
    private boolean isBusy;

    /** Starts the monotonic clock at 1000 s, because its origin is arbitrary. */
    public SimLoop() {
        manualLoop.advanceClock(Durations.nanos(1000));
    }

    @Override
    public long nanos() {
        return manualLoop.nanos();
    }

    @Override
    public long wallMillis() {
        return 1_700_000_000_000L + manualLoop.wallMillis();
    }

    @Override
    public Cancellable after(long delayNanos, Runnable work) {
        return manualLoop.after(delayNanos, work);
    }

    @Override
    public boolean busy() {
        return isBusy;
    }

    /** Sets the result of {@link #busy}, as if requests were queued for the loop or not. */
    public void setBusy(boolean value) {
        isBusy = value;
    }

    /** The number of tasks that have not run yet. */
    public int pendingTaskCount() {
        return manualLoop.pendingTaskCount();
    }

    /** Advances the clock as if the running task used this much CPU time. Tasks that become due run late. */
    public void advanceClock(double seconds) {
        manualLoop.advanceClock(Durations.nanos(seconds));
    }

    /** Advances the time by {@code seconds} and runs the tasks that become due. */
    public void run(double seconds) {
        manualLoop.advance(Durations.nanos(seconds));
    }

    /**
     * The event loop of one process. No task runs once the process is killed. Due tasks wait while the process is
     * paused.
     */
    public static final class ProcessLoop implements Loop {
        private final SimLoop loop;
        private boolean isKilled;
        private long pausedUntil = Long.MIN_VALUE;

        ProcessLoop(SimLoop loop) {
            this.loop = loop;
        }

        /**
         * Pauses the process for {@code seconds} while its clocks run on. Tasks that become due during the pause run
         * after it, in order.
         */
        void pause(double seconds) {
            pausedUntil = loop.nanos() + Durations.nanos(seconds);
        }

        private void runUnlessKilled(Runnable work) {
            if (loop.nanos() < pausedUntil) {
                loop.after(pausedUntil - loop.nanos(), () -> runUnlessKilled(work));
            } else if (!isKilled) {
                work.run();
            }
        }

        void kill() {
            isKilled = true;
        }

        boolean isStopped() {
            return isKilled;
        }

        @Override
        public long nanos() {
            return loop.nanos();
        }

        @Override
        public long wallMillis() {
            return loop.wallMillis();
        }

        @Override
        public Cancellable after(long delayNanos, Runnable work) {
            return loop.after(delayNanos, () -> runUnlessKilled(work));
        }

        @Override
        public boolean busy() {
            return loop.busy();
        }
    }
}
