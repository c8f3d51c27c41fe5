package org.spruceridge.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;

/**
 * Queue of received requests under overload. With processor time to spare each request is handled at once. When requests
 * arrive faster than they can be handled they wait here, by priority, and those whose sender has disconnected or timed out
 * are rejected unhandled: a node busy with responses that nobody waits for would answer nobody in time, and senders retry.
 * Used on the event loop only.
 */
public final class RequestQueue {
    /** The order in which requests are handled under overload, each with the time after which it is rejected. */
    public enum Priority {
        /** Health checks: otherwise the load balancer takes a busy node for a dead one. */
        HEALTH(1),
        /** Workers' heartbeats, which time out at the worker after 4 s. */
        HEARTBEAT(3),
        /** Requests of users, who are told to retry rather than kept waiting. */
        USER(1);

        private final long timeoutNanos;

        Priority(double timeoutS) {
            timeoutNanos = Durations.nanos(timeoutS);
        }
    }

    /** A request in the queue. */
    interface Work {
        /** Handles it. */
        void run();

        /** It has waited longer than its priority allows, or longer than its sender, and is not handled. */
        void reject();

        /** True if its sender has disconnected. */
        boolean isAbandoned();
    }

    /** Time spent on requests before the network is polled again: more may have arrived, or disconnected. */
    private static final long MAX_SLICE_NANOS = Durations.millis(50);

    private final Loop loop;
    private final Map<Priority, Deque<QueuedWork>> queues = new EnumMap<>(Priority.class);
    private long idleSince;
    private long spentNanos;
    private boolean isDraining;

    private record QueuedWork(Work work, long queuedAt) {}

    RequestQueue(Loop loop) {
        this.loop = loop;
        this.idleSince = loop.nanos();
        for (Priority priority : Priority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    void add(Priority priority, Work work) {
        long now = loop.nanos();
        spentNanos = Math.max(0, spentNanos - (now - idleSince)); // idle time pays time spent back
        if (isDraining || spentNanos > MAX_SLICE_NANOS) {
            queues.get(priority).add(new QueuedWork(work, now));
            drainSoon();
        } else {
            work.run();
            spentNanos += loop.nanos() - now;
        }
        idleSince = loop.nanos();
    }

    /** True while requests are queued. */
    boolean hasQueuedRequests() {
        return isDraining;
    }

    private void drainSoon() {
        if (!isDraining) {
            isDraining = true;
            loop.after(0, this::drain); // runs after the network has been polled
        }
    }

    private void drain() {
        long sliceStart = loop.nanos();
        for (var queue : queues.entrySet()) {
            while (!queue.getValue().isEmpty()) {
                long now = loop.nanos();
                if (now - sliceStart > MAX_SLICE_NANOS) {
                    loop.after(0, this::drain);
                    return;
                }
                QueuedWork next = queue.getValue().remove();
                if (next.work.isAbandoned() || now - next.queuedAt > queue.getKey().timeoutNanos) {
                    next.work.reject();
                } else {
                    next.work.run();
                }
            }
        }
        isDraining = false;
        spentNanos = 0;
    }
}
