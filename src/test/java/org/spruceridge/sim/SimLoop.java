package org.spruceridge.sim;

import org.spruceridge.net.Cancellable;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.ManualLoop;

/** An event loop in simulated time: tasks run in the order of their due times, and time advances only between them. */
public final class SimLoop implements Loop {
    private final ManualLoop time = new ManualLoop();
    private boolean isBusy;

    /** Starts the monotonic clock at 1000 s, because its origin is arbitrary. */
    public SimLoop() {
        time.advanceClock(Durations.nanos(1000));
    }

    @Override
    public long nanos() {
        return time.nanos();
    }

    @Override
    public long wallMillis() {
        return 1_700_000_000_000L + time.wallMillis();
    }

    @Override
    public Cancellable after(long delayNanos, Runnable work) {
        return time.after(delayNanos, work);
    }

    @Override
    public boolean busy() {
        return isBusy;
    }

    /** Sets whether the loop reports that requests are queued for it. */
    public void setBusy(boolean value) {
        isBusy = value;
    }

    /** The number of tasks that have not run yet. */
    public int pendingTaskCount() {
        return time.pendingTaskCount();
    }

    /** Advances the clock within a task, as if the task used this much CPU time; due tasks then run late. */
    public void advanceClock(double seconds) {
        time.advanceClock(Durations.nanos(seconds));
    }

    /** Advances the time by {@code seconds} and runs the tasks that become due. */
    public void run(double seconds) {
        time.advance(Durations.nanos(seconds));
    }

    /** The event loop of one process: nothing runs once the process is killed, and due tasks wait while it is paused. */
    public static final class ProcessLoop implements Loop {
        private final SimLoop loop;
        private boolean stopped;
        private long pausedUntil = Long.MIN_VALUE;

        ProcessLoop(SimLoop loop) {
            this.loop = loop;
        }

        /** Pauses the process while its clocks run on; the tasks that become due meanwhile run after the pause, in order. */
        void pause(double seconds) {
            pausedUntil = loop.nanos() + Durations.nanos(seconds);
        }

        private void runUnlessKilled(Runnable work) {
            if (loop.nanos() < pausedUntil) {
                loop.after(pausedUntil - loop.nanos(), () -> runUnlessKilled(work));
            } else if (!stopped) {
                work.run();
            }
        }

        void kill() {
            stopped = true;
        }

        boolean isStopped() {
            return stopped;
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
