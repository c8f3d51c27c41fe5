package org.spruceridge.sim;

import org.spruceridge.net.Cancellable;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.ManualLoop;

/** Simulated time: tasks run in the order of their moments, and time passes only between them. */
public final class SimLoop implements Loop {
    private final ManualLoop time = new ManualLoop();
    private boolean busy;

    /** Starts at 1000 s, as the zero of a steady clock is arbitrary. */
    public SimLoop() {
        time.pass(Durations.nanos(1000));
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
        return busy;
    }

    /** Sets whether requests wait for the loop. */
    public void busy(boolean value) {
        busy = value;
    }

    /** Tasks that are still to run. */
    public int pending() {
        return time.pending();
    }

    /** Lets time pass within a task, as if it used much CPU time. */
    public void pass(double seconds) {
        time.pass(Durations.nanos(seconds));
    }

    /** Lets time pass. */
    public void run(double seconds) {
        time.advance(Durations.nanos(seconds));
    }

    /** The loop of one process: nothing runs once the process is killed, and all tasks wait while it is paused. */
    public static final class Process implements Loop {
        private final SimLoop loop;
        private boolean stopped;
        private long pausedUntil = Long.MIN_VALUE;

        Process(SimLoop loop) {
            this.loop = loop;
        }

        /** Pauses the process while its clocks run on; then all tasks that became due meanwhile run, in order. */
        void pause(double seconds) {
            pausedUntil = loop.nanos() + Durations.nanos(seconds);
        }

        private void run(Runnable work) {
            if (loop.nanos() < pausedUntil) {
                loop.after(pausedUntil - loop.nanos(), () -> run(work));
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
            return loop.after(delayNanos, () -> run(work));
        }

        @Override
        public boolean busy() {
            return loop.busy();
        }
    }
}
