package org.spruceridge.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;

/**
 * The queue of received requests under overload. Without overload, each request is handled immediately. Requests that
 * arrive faster than this node can handle them are queued by priority. A request whose sender has disconnected or timed
 * out is rejected unhandled. Otherwise this node would spend its time on responses that nobody waits for, and because
 * senders retry, it would answer no request in time. Used on the event loop only.
 */
public final class RequestQueue {
    /**
     * The priority of requests under overload, the highest first. A queued request is rejected after the timeout of its
     * priority, in seconds.
     */
    public enum Priority {
        /** Health checks. If they are delayed, the load balancer considers a busy node dead. */
        HEALTH(1),
        /** Workers' heartbeats. A worker stops waiting for the response after 4 s. */
        HEARTBEAT(3),
        /** Requests of users. After the timeout, the response asks the user to retry instead of waiting longer. */
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

    /**
     * The maximum time for which requests are handled before the loop looks for new requests and closed connections.
     */
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
