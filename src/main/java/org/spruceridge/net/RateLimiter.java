package org.spruceridge.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Limits the rate of requests to a service and the rate of changes in these requests. Work that exceeds the rates waits
 * in a bounded queue and runs in order of priority. The service therefore never receives more than its published limit.
 * Work that only reads never waits for work that changes data. Users' changes have a separate token bucket. Users of
 * the leader's node are therefore served as fast as users of other nodes, regardless of how much the leader writes.
 * Used on the event loop only.
 */
public final class RateLimiter {
    /** The priority of work, named after its purpose; the highest priority is first. */
    public enum Priority {
        /** Renewal of the leader's lease, elections and recovery. */
        LEASE_RENEWAL,
        /** Writes caused by workers' heartbeats. */
        HEARTBEATS,
        /** Writes caused by scheduling and scaling. */
        SCHEDULING,
        /** Requests of users. A request whose expected wait is too long is rejected instead of queued. */
        SUBMISSIONS
    }

    private static final int MAX_QUEUED_PER_PRIORITY = 256;
    /**
     * The maximum expected wait of a user's request. With a longer expected wait the request is rejected immediately,
     * and the user should retry.
     */
    private static final double MAX_SUBMISSION_WAIT_S = 1;

    private final Loop loop;
    private final TokenBucket requestTokens;
    private final TokenBucket changeTokens;
    private final TokenBucket userChangeTokens;
    private final Map<Priority, Queue> queues = new EnumMap<>(Priority.class);
    private Cancellable wakeUp;
    private long submittedCount;

    /**
     * Creates a limiter with these rates per second and without a user burst; {@link #setRates} sets the user burst.
     */
    public RateLimiter(Loop loop, double requestsPerS, double changesPerS, double userChangesPerS) {
        this.loop = loop;
        this.requestTokens = new TokenBucket(requestsPerS, 1, loop.nanos());
        this.changeTokens = new TokenBucket(changesPerS, 1, loop.nanos());
        this.userChangeTokens = new TokenBucket(userChangesPerS, 1, loop.nanos());
        for (Priority priority : Priority.values()) {
            queues.put(priority, new Queue());
        }
    }

    /**
     * Changes the rates, for example when this node becomes the leader or steps down. Users' requests arrive in bursts.
     * A node that has been idle therefore allows {@code userBurst} changes by users at once.
     */
    public void setRates(double requestsPerS, double changesPerS, double userChangesPerS, double userBurst) {
        long now = loop.nanos();
        requestTokens.setRate(requestsPerS, now);
        changeTokens.setRate(changesPerS, now);
        userChangeTokens.setRate(userChangesPerS, now);
        userChangeTokens.setMinCapacity(userBurst);
    }

    /**
     * Runs the work when the rates allow it. Returns false, and never runs it, if the queue of this priority is full or
     * if the expected wait of a user's request is too long.
     */
    public boolean submit(Priority priority, int changeCount, Runnable work) {
        return submit(priority, changeCount, () -> {
            work.run();
            return changeCount;
        });
    }

    /**
     * Like {@link #submit(Priority, int, Runnable)}, for work whose number of changes is known only when the work runs.
     * The work returns that number, which is at most {@code maxChanges}. Tokens taken for the other changes are
     * returned.
     */
    public boolean submit(Priority priority, int maxChanges, IntSupplier work) {
        Queue queue = queues.get(priority);
        if (queue.size() >= MAX_QUEUED_PER_PRIORITY
                || (priority == Priority.SUBMISSIONS && expectedWaitS(queue) > MAX_SUBMISSION_WAIT_S)) {
            return false;
        }
        (maxChanges > 0 ? queue.changes : queue.reads).add(new PendingWork(++submittedCount, maxChanges, work));
        drain();
        return true;
    }

    private double expectedWaitS(Queue queue) {
        int queuedChanges =
                queue.changes.stream().mapToInt(PendingWork::maxChanges).sum();
        return Math.max(queue.size() / requestTokens.ratePerS(), queuedChanges / userChangeTokens.ratePerS());
    }

    private void drain() {
        cancelWakeUp();
        NextStep step = nextStep();
        while (step instanceof Run runStep) {
            run(runStep.queue.remove(), runStep.changeBucket);
            step = nextStep();
        }
        cancelWakeUp(); // a nested call of drain, for work that was submitted by the work above, may have set it
        if (step instanceof WaitFor waitStep) {
            wakeUp = loop.after(waitStep.nanos, this::drain);
        }
    }

    private void cancelWakeUp() {
        if (wakeUp != null) {
            wakeUp.cancel();
            wakeUp = null;
        }
    }

    /** The next step of {@link #drain}. */
    private sealed interface NextStep permits Run, WaitFor, Idle {}

    /** Run the head of the queue now, and take its change tokens from the bucket. */
    private record Run(Deque<PendingWork> queue, TokenBucket changeBucket) implements NextStep {}

    /** Wait this long. Work is queued, but the rates allow none of it earlier. */
    private record WaitFor(long nanos) implements NextStep {}

    private enum Idle implements NextStep {
        NOTHING_QUEUED
    }

    private NextStep nextStep() {
        long now = loop.nanos();
        long requestWait = requestTokens.waitNanos(1, now);
        long minChangeWait = Long.MAX_VALUE;
        boolean isShortOfChangeTokens = false;
        for (Priority priority : Priority.values()) {
            Queue queue = queues.get(priority);
            TokenBucket bucket = priority == Priority.SUBMISSIONS ? userChangeTokens : changeTokens;
            boolean canRunChange = !queue.changes.isEmpty();
            if (canRunChange) {
                long changeWait = bucket.waitNanos(queue.changes.peek().maxChanges, now);
                minChangeWait = changeWait > 0 ? Math.min(minChangeWait, changeWait) : minChangeWait;
                // While a priority waits for change tokens, lower priorities must not take them.
                canRunChange = changeWait == 0 && !(isShortOfChangeTokens && bucket == changeTokens);
                isShortOfChangeTokens |= changeWait > 0 && bucket == changeTokens;
            }
            if (canRunChange || !queue.reads.isEmpty()) {
                return requestWait > 0
                        ? new WaitFor(requestWait)
                        : new Run(queue.dequeWithEarliestWork(canRunChange), bucket);
            }
        }
        return minChangeWait == Long.MAX_VALUE ? Idle.NOTHING_QUEUED : new WaitFor(minChangeWait);
    }

    private void run(PendingWork pending, TokenBucket changeBucket) {
        requestTokens.take(1);
        changeBucket.take(pending.maxChanges);
        changeBucket.take(pending.work.getAsInt() - pending.maxChanges);
    }

    private record PendingWork(long sequenceNumber, int maxChanges, IntSupplier work) {}

    /** The queued work of one priority, in the order of submission. */
    private static final class Queue {
        private final Deque<PendingWork> changes = new ArrayDeque<>();
        private final Deque<PendingWork> reads = new ArrayDeque<>();

        int size() {
            return changes.size() + reads.size();
        }

        /**
         * Returns the deque whose head was submitted first. The head of {@code changes} is considered only if {@code
         * canRunChange} is true. At least one head must be runnable.
         */
        Deque<PendingWork> dequeWithEarliestWork(boolean canRunChange) {
            if (!canRunChange) {
                return reads;
            }
            return reads.isEmpty() || changes.peek().sequenceNumber < reads.peek().sequenceNumber ? changes : reads;
        }
    }
}
