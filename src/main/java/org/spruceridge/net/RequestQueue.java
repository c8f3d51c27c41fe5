package org.spruceridge.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;

/**
 * The queue of received requests under overload. With CPU time to spare, each request is handled immediately. Requests
 * that arrive faster than they can be handled are queued by priority, and those whose sender has disconnected or timed
 * out are rejected unhandled: a node that spends its time on responses that nobody is waiting for would answer no
 * request in time, because senders retry. Used on the event loop only.
 */
public final class RequestQueue {
    /** The priority of requests under overload, the highest first, with the time after which they are rejected. */
    public enum Priority {
        /** Health checks; if they are delayed, the load balancer considers a busy node dead. */
        HEALTH(1),
        /** Workers' heartbeats; the worker times out after 4 s. */
        HEARTBEAT(3),
        /** Requests of users; they receive a response that asks them to retry instead of waiting longer. */
        USER(1);

        private final long timeoutNanos;

        Priority(double timeoutS) {
            timeoutNanos = Durations.nanos(timeoutS);
        }
    }

    /** A request in the queue. */
    interface PendingRequest {
        /** Handles the request. */
        void run();

        /** Rejects the request unhandled, because its queue timeout has expired or its sender has disconnected. */
        void reject();

        /** True if the sender has disconnected. */
        boolean isAbandoned();
    }

    /** The maximum time spent on requests before the network is polled for new requests and disconnects. */
    private static final long MAX_SLICE_NANOS = Durations.millis(50);

    private final Loop loop;
    private final Map<Priority, Deque<QueueEntry>> queues = new EnumMap<>(Priority.class);
    private long idleSinceNanos;
    private long busyNanos;
    private boolean isDraining;

    private record QueueEntry(PendingRequest request, long queuedAtNanos) {}

    RequestQueue(Loop loop) {
        this.loop = loop;
        this.idleSinceNanos = loop.nanos();
        for (Priority priority : Priority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    void add(Priority priority, PendingRequest request) {
        long now = loop.nanos();
        busyNanos = Math.max(0, busyNanos - (now - idleSinceNanos)); // idle time offsets busy time
        if (isDraining || busyNanos > MAX_SLICE_NANOS) {
            queues.get(priority).add(new QueueEntry(request, now));
            scheduleDrain();
        } else {
            request.run();
            busyNanos += loop.nanos() - now;
        }
        idleSinceNanos = loop.nanos();
    }

    /** True while requests are queued. */
    boolean hasQueuedRequests() {
        return isDraining;
    }

    private void scheduleDrain() {
        if (!isDraining) {
            isDraining = true;
            loop.after(0, this::drain); // runs after the network has been polled
        }
    }

    private void drain() {
        long sliceStartNanos = loop.nanos();
        for (var priorityQueue : queues.entrySet()) {
            while (!priorityQueue.getValue().isEmpty()) {
                long now = loop.nanos();
                if (now - sliceStartNanos > MAX_SLICE_NANOS) {
                    loop.after(0, this::drain);
                    return;
                }
                QueueEntry entry = priorityQueue.getValue().remove();
                if (entry.request.isAbandoned() || now - entry.queuedAtNanos > priorityQueue.getKey().timeoutNanos) {
                    entry.request.reject();
                } else {
                    entry.request.run();
                }
            }
        }
        isDraining = false;
        busyNanos = 0;
    }
}
