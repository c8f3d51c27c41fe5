package org.spruceridge.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Limits the rates of requests to a service and of changes within them, by priority. Work beyond the rate waits in a bounded
 * queue, so the service never gets more than its published limit. Work that only reads never waits for changes, and users'
 * changes have a token bucket of their own: however much a leader has to write, users of its node are served like those of
 * other nodes. Used on the event loop only.
 */
public final class RateLimiter {
    /** What the work is for; the first has the highest priority. */
    public enum Priority {
        /** Renewal of the leader's lease, elections and recovery. */
        LEASE_RENEWAL,
        /** Writes that follow from workers' heartbeats. */
        HEARTBEATS,
        /** Writes that follow from scheduling and scaling. */
        SCHEDULING,
        /** Requests of users; rejected rather than queued for long. */
        SUBMISSIONS
    }

    private static final int MAX_QUEUED_PER_PRIORITY = 256;
    /** A user's request that would wait longer is rejected at once, for the user to retry. */
    private static final double MAX_SUBMISSION_WAIT_S = 1;

    private final Loop loop;
    private final TokenBucket requests;
    private final TokenBucket changes;
    private final TokenBucket userChanges;
    private final Map<Priority, Queue> queues = new EnumMap<>(Priority.class);
    private Cancellable wakeUp;
    private long submittedCount;

    /** Rates per second of requests, of changes and of users' changes; users have no burst at first. */
    public RateLimiter(Loop loop, double requestsPerS, double changesPerS, double userChangesPerS) {
        this.loop = loop;
        this.requests = new TokenBucket(requestsPerS, 1, loop.nanos());
        this.changes = new TokenBucket(changesPerS, 1, loop.nanos());
        this.userChanges = new TokenBucket(userChangesPerS, 1, loop.nanos());
        for (Priority priority : Priority.values()) {
            queues.put(priority, new Queue());
        }
    }

    /**
     * Changes the rates, as when this node begins or ceases to lead. Users' requests come in bursts: a node that has been
     * idle takes {@code userBurst} changes of theirs at once.
     */
    public void setRates(double requestsPerS, double changesPerS, double userChangesPerS, double userBurst) {
        long now = loop.nanos();
        requests.setRate(requestsPerS, now);
        changes.setRate(changesPerS, now);
        userChanges.setRate(userChangesPerS, now);
        userChanges.setMinCapacity(userBurst);
    }

    /** Runs the work when the rate permits; false if the queue is full, and then it never runs. */
    public boolean submit(Priority priority, int changeCount, Runnable work) {
        return submit(priority, changeCount, () -> {
            work.run();
            return changeCount;
        });
    }

    /** The same for work that knows only when it runs how many changes it makes, at most {@code maxChanges}. */
    public boolean submit(Priority priority, int maxChanges, IntSupplier work) {
        Queue queue = queues.get(priority);
        if (queue.size() >= MAX_QUEUED_PER_PRIORITY
                || (priority == Priority.SUBMISSIONS && expectedWaitS(queue) > MAX_SUBMISSION_WAIT_S)) {
            return false;
        }
        (maxChanges > 0 ? queue.changes : queue.reads).add(new Pending(++submittedCount, maxChanges, work));
        drain();
        return true;
    }

    private double expectedWaitS(Queue queue) {
        int queued = queue.changes.stream().mapToInt(Pending::maxChanges).sum();
        return Math.max(queue.size() / requests.ratePerS(), queued / userChanges.ratePerS());
    }

    private void drain() {
        cancelWakeUp();
        Next next = next();
        while (next instanceof Run run) {
            run(run.queue.remove(), run.changeBucket);
            next = next();
        }
        cancelWakeUp(); // set by work that submitted more work
        if (next instanceof WaitFor wait) {
            wakeUp = loop.after(wait.nanos, this::drain);
        }
    }

    private void cancelWakeUp() {
        if (wakeUp != null) {
            wakeUp.cancel();
            wakeUp = null;
        }
    }

    /** What is to be done next. */
    private sealed interface Next permits Run, WaitFor, Nothing {}

    /** The first work of the queue may run now; its changes are taken from the bucket. */
    private record Run(Deque<Pending> queue, TokenBucket changeBucket) implements Next {}

    /** Work is queued and the rates permit none of it before this time is over. */
    private record WaitFor(long nanos) implements Next {}

    private enum Nothing implements Next {
        QUEUED
    }

    private Next next() {
        long now = loop.nanos();
        long requestWait = requests.waitNanos(1, now);
        long minChangeWait = Long.MAX_VALUE;
        boolean changesShort = false;
        for (Priority priority : Priority.values()) {
            Queue queue = queues.get(priority);
            TokenBucket bucket = priority == Priority.SUBMISSIONS ? userChanges : changes;
            boolean mayChange = !queue.changes.isEmpty();
            if (mayChange) {
                long changeWait = bucket.waitNanos(queue.changes.peek().maxChanges, now);
                minChangeWait = changeWait > 0 ? Math.min(minChangeWait, changeWait) : minChangeWait;
                // Once changes are short for a priority, none below it may take what it waits for.
                mayChange = changeWait == 0 && !(changesShort && bucket == changes);
                changesShort |= changeWait > 0 && bucket == changes;
            }
            if (mayChange || !queue.reads.isEmpty()) {
                return requestWait > 0 ? new WaitFor(requestWait) : new Run(queue.first(mayChange), bucket);
            }
        }
        return minChangeWait == Long.MAX_VALUE ? Nothing.QUEUED : new WaitFor(minChangeWait);
    }

    private void run(Pending pending, TokenBucket changeBucket) {
        requests.take(1);
        changeBucket.take(pending.maxChanges);
        changeBucket.take(pending.work.getAsInt() - pending.maxChanges);
    }

    private record Pending(long number, int maxChanges, IntSupplier work) {}

    /** The queued work of one priority, in the order of submission. */
    private static final class Queue {
        private final Deque<Pending> changes = new ArrayDeque<>();
        private final Deque<Pending> reads = new ArrayDeque<>();

        int size() {
            return changes.size() + reads.size();
        }

        /** Where the work submitted first is, of what may run; there must be some. */
        Deque<Pending> first(boolean mayChange) {
            if (!mayChange) {
                return reads;
            }
            return reads.isEmpty() || changes.peek().number < reads.peek().number ? changes : reads;
        }
    }
}
