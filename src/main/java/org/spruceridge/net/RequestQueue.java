package org.spruceridge.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;

/**
 * The requests that have come in and wait for the processor. While there is enough of it each is taken at once. When
 * requests come faster than they can be taken they wait here, by rank, and those whose sender has gone or has given up
 * meanwhile are let go unread: a node that spends itself on answers that nobody waits for would answer nobody in time,
 * and whoever gives up asks again.
 */
public final class RequestQueue {
    /** The order in which requests are taken when there are too many. */
    public enum Priority {
        /** Else the load balancer would take a busy node for a dead one. */
        HEALTH(1),
        /** Workers give a report up after 4 s. */
        HEARTBEAT(3),
        /** Users are told at once to come back rather than held. */
        USER(1);

        private final long timeoutNanos;

        Priority(double timeoutS) {
            timeoutNanos = Durations.nanos(timeoutS);
        }
    }

    /** Something that waits for the processor. */
    interface Work {
        void run();

        /** It has waited longer than its rank allows, or longer than its sender, and is not taken. */
        void reject();

        /** True if nobody waits for it any more. */
        boolean isAbandoned();
    }

    /** As long as this is spent on requests before the network is looked at again: more may have come, or gone. */
    private static final long MAX_SLICE_NANOS = Durations.millis(50);

    private final Loop loop;
    private final Map<Priority, Deque<Waiting>> queues = new EnumMap<>(Priority.class);
    private long idleSince;
    private long spentNanos;
    private boolean isDraining;

    private record Waiting(Work work, long queuedAt) {}

    RequestQueue(Loop loop) {
        this.loop = loop;
        this.idleSince = loop.nanos();
        for (Priority priority : Priority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    void add(Priority priority, Work work) {
        long now = loop.nanos();
        spentNanos = Math.max(0, spentNanos - (now - idleSince)); // as long as it was idle, it has caught up
        if (isDraining || spentNanos > MAX_SLICE_NANOS) {
            queues.get(priority).add(new Waiting(work, now));
            drainSoon();
        } else {
            work.run();
            spentNanos += loop.nanos() - now;
        }
        idleSince = loop.nanos();
    }

    /** True while requests wait for the processor. */
    boolean hasQueuedRequests() {
        return isDraining;
    }

    private void drainSoon() {
        if (!isDraining) {
            isDraining = true;
            loop.after(0, this::drain); // after the network has been looked at
        }
    }

    private void drain() {
        long from = loop.nanos();
        for (var queue : queues.entrySet()) {
            while (!queue.getValue().isEmpty()) {
                long now = loop.nanos();
                if (now - from > MAX_SLICE_NANOS) {
                    loop.after(0, this::drain);
                    return;
                }
                Waiting next = queue.getValue().remove();
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
