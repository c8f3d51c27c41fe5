package org.spruceridge.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;

/**
 * Two allowances a second, requests and changes, handed out by rank. Work that finds none left waits its turn in a
 * bounded queue, so the service behind is never asked for more than its published limit.
 */
public final class Budget {
    /** What the work is for; earlier ranks go first. */
    public enum Rank {
        RENEWAL,
        REPORTS,
        DECISIONS,
        SUBMISSIONS
    }

    private static final int QUEUE_LIMIT = 256;
    /** A user who would wait longer than this for a turn is better told at once to come back. */
    private static final double LONGEST_WAIT_S = 1;

    private final Loop loop;
    private final Allowance requests;
    private final Allowance changes;
    private final Map<Rank, Deque<Waiting>> queues = new EnumMap<>(Rank.class);
    private Cancellable wakeUp;

    public Budget(Loop loop, double requestsPerS, double changesPerS) {
        this.loop = loop;
        this.requests = new Allowance(requestsPerS, loop.nanos());
        this.changes = new Allowance(changesPerS, loop.nanos());
        for (Rank rank : Rank.values()) {
            queues.put(rank, new ArrayDeque<>());
        }
    }

    /** Changes the rates, as when this node begins or ceases to lead. */
    public void rates(double requestsPerS, double changesPerS) {
        long now = loop.nanos();
        requests.rate(requestsPerS, now);
        changes.rate(changesPerS, now);
    }

    /** Runs the work when its turn comes; false if too much is waiting already, and then it never runs. */
    public boolean submit(Rank rank, int changeCount, Runnable work) {
        Deque<Waiting> queue = queues.get(rank);
        if (queue.size() >= QUEUE_LIMIT || (rank == Rank.SUBMISSIONS && waitS(queue) > LONGEST_WAIT_S)) {
            return false;
        }
        queue.add(new Waiting(changeCount, work));
        drain();
        return true;
    }

    private double waitS(Deque<Waiting> queue) {
        int queued = queue.stream().mapToInt(Waiting::changeCount).sum();
        return Math.max(queue.size() / requests.perS, queued / changes.perS);
    }

    private void drain() {
        if (wakeUp != null) {
            wakeUp.cancel();
            wakeUp = null;
        }
        for (Rank rank : Rank.values()) {
            Deque<Waiting> queue = queues.get(rank);
            while (!queue.isEmpty()) {
                Waiting first = queue.peek();
                long now = loop.nanos();
                long wait = Math.max(requests.waitFor(1, now), changes.waitFor(first.changeCount, now));
                if (wait > 0) {
                    if (wakeUp != null) {
                        wakeUp.cancel(); // set by work that submitted more work
                    }
                    wakeUp = loop.after(wait, this::drain);
                    return;
                }
                queue.remove();
                requests.take(1);
                changes.take(first.changeCount);
                first.work.run();
            }
        }
    }

    private record Waiting(int changeCount, Runnable work) {}

    /** A bucket that fills at a rate and holds one second's worth. */
    private static final class Allowance {
        private double perS;
        private double held;
        private long at;

        Allowance(double perS, long now) {
            this.perS = perS;
            this.held = perS;
            this.at = now;
        }

        void rate(double newPerS, long now) {
            fill(now);
            perS = newPerS;
            held = Math.min(held, newPerS);
        }

        /** More than a full bucket is lent once the bucket is full. */
        long waitFor(int count, long now) {
            fill(now);
            double missing = Math.min(count, Math.max(1, perS)) - held;
            return missing <= 1e-9 ? 0 : Math.max(1, (long) (missing / perS * 1e9));
        }

        void take(int count) {
            held -= count;
        }

        private void fill(long now) {
            held = Math.min(Math.max(1, perS), held + perS * (now - at) / 1e9);
            at = now;
        }
    }
}
