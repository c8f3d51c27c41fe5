package org.spruceridge.net;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A loop on virtual time: nothing runs until time is advanced. */
public final class ManualLoop implements Loop {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::number));
    private long now;
    private long scheduled;

    private record Task(long at, long number, Runnable work) {}

    @Override
    public long nanos() {
        return now;
    }

    @Override
    public long wallMillis() {
        return now / 1_000_000;
    }

    @Override
    public Cancellable after(long delayNanos, Runnable work) {
        Task task = new Task(now + Math.max(0, delayNanos), ++scheduled, work);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** The number of tasks that are still to run. */
    public int pending() {
        return tasks.size();
    }

    /** Lets time pass within a task; what falls due meanwhile runs late. */
    public void pass(long nanos) {
        now += nanos;
    }

    /** Advances time by this many nanoseconds and runs what falls due, in order. */
    public void advance(long nanos) {
        long end = now + nanos;
        while (!tasks.isEmpty() && tasks.peek().at <= end) {
            Task task = tasks.remove();
            now = Math.max(now, task.at);
            task.work.run();
        }
        now = Math.max(now, end);
    }
}
