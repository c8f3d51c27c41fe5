package org.spruceridge.net;

import java.util.Comparator;
import java.util.PriorityQueue;

/** An event loop on virtual time: tasks run only when time is advanced. */
public final class ManualLoop implements Loop {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::sequenceNumber));
    private long nowNanos;
    private long scheduledCount;

    private record Task(long dueNanos, long sequenceNumber, Runnable work) {}

    @Override
    public long nanos() {
        return nowNanos;
    }

    @Override
    public long wallMillis() {
        return nowNanos / 1_000_000;
    }

    @Override
    public Cancellable after(long delayNanos, Runnable work) {
        Task task = new Task(nowNanos + Math.max(0, delayNanos), ++scheduledCount, work);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** The number of tasks that have not run yet. */
    public int pendingTaskCount() {
        return tasks.size();
    }

    /**
     * Advances time by this many nanoseconds without running tasks, like a running task that takes that long. Tasks
     * that become due in this time run late.
     */
    public void advanceClock(long nanos) {
        nowNanos += nanos;
    }

    /** Advances time by this many nanoseconds and runs the tasks that become due, in order. */
    public void advance(long nanos) {
        long endNanos = nowNanos + nanos;
        while (!tasks.isEmpty() && tasks.peek().dueNanos <= endNanos) {
            Task task = tasks.remove();
            nowNanos = Math.max(nowNanos, task.dueNanos);
            task.work.run();
        }
        nowNanos = Math.max(nowNanos, endNanos);
    }
}
