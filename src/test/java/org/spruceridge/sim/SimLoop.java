package org.spruceridge.sim;

import org.spruceridge.net.Cancellable;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.ManualLoop;

/** Simulated time: tasks run in the order of their moments, and time passes only between them. */
public final class SimLoop implements Loop {
    private final ManualLoop time = new ManualLoop();
    private boolean busy;

    /** Begins some time after the clock's zero, as clocks do. */
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

    /** Lets requests wait for this loop's time, or none any more. */
    public void busy(boolean value) {
        busy = value;
    }

    /** Tasks that are still to run. */
    public int pending() {
        return time.pending();
    }

    /** Time passes within a task, as when it costs much processor. */
    public void pass(double seconds) {
        time.pass(Durations.nanos(seconds));
    }

    /** Lets time pass. */
    public void run(double seconds) {
        time.advance(Durations.nanos(seconds));
    }

    /** This loop as one process has it: from its end on nothing of it runs, and while it stands still all waits. */
    public static final class Process implements Loop {
        private final SimLoop loop;
        private boolean stopped;
        private long pausedUntil = Long.MIN_VALUE;

        Process(SimLoop loop) {
            this.loop = loop;
        }

        /** Lets the process stand still while its clocks run on; then all that was due meanwhile runs, in order. */
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
