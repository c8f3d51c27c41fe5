package org.spruceridge.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Two allowances a second, requests and changes, handed out by rank. Work that finds none left waits its turn in a
 * bounded queue, so the service behind is never asked for more than its published limit. Work that only reads never
 * waits for changes.
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
    private final Map<Rank, Queue> queues = new EnumMap<>(Rank.class);
    private Cancellable wakeUp;
    private long taken;

    public Budget(Loop loop, double requestsPerS, double changesPerS) {
        this.loop = loop;
        this.requests = new Allowance(requestsPerS, loop.nanos());
        this.changes = new Allowance(changesPerS, loop.nanos());
        for (Rank rank : Rank.values()) {
            queues.put(rank, new Queue());
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
        return submit(rank, changeCount, () -> {
            work.run();
            return changeCount;
        });
    }

    /** The same for work that tells only at its turn how many changes it makes, at most {@code mostChanges}. */
    public boolean submit(Rank rank, int mostChanges, IntSupplier work) {
        Queue queue = queues.get(rank);
        if (queue.size() >= QUEUE_LIMIT || (rank == Rank.SUBMISSIONS && waitS(queue) > LONGEST_WAIT_S)) {
            return false;
        }
        (mostChanges > 0 ? queue.changing : queue.reading).add(new Waiting(++taken, mostChanges, work));
        drain();
        return true;
    }

    private double waitS(Queue queue) {
        int queued = queue.changing.stream().mapToInt(Waiting::mostChanges).sum();
        return Math.max(queue.size() / requests.perS, queued / changes.perS);
    }

    private void drain() {
        if (wakeUp != null) {
            wakeUp.cancel();
            wakeUp = null;
        }
        long wait = 0;
        while (wait == 0) {
            long now = loop.nanos();
            wait = requests.waitFor(1, now);
            if (wait == 0) {
                Deque<Waiting> next = null;
                for (Rank rank : Rank.values()) {
                    Queue queue = queues.get(rank);
                    // Once changes are short for a rank, none after it may take what it waits for.
                    if (wait == 0 && !queue.changing.isEmpty()) {
                        wait = changes.waitFor(queue.changing.peek().mostChanges, now);
                    }
                    next = queue.first(wait == 0);
                    if (next != null) {
                        break;
                    }
                }
                if (next == null) {
                    break;
                }
                wait = 0;
                run(next.remove());
            }
        }
        if (wakeUp != null) {
            wakeUp.cancel(); // set by work that submitted more work
            wakeUp = null;
        }
        if (wait > 0 && queues.values().stream().anyMatch(q -> q.size() > 0)) {
            wakeUp = loop.after(wait, this::drain);
        }
    }

    private void run(Waiting work) {
        requests.take(1);
        changes.take(work.mostChanges);
        changes.take(work.work.getAsInt() - work.mostChanges);
    }

    private record Waiting(long number, int mostChanges, IntSupplier work) {}

    /** What waits of one rank, in the order of its coming. */
    private static final class Queue {
        private final Deque<Waiting> changing = new ArrayDeque<>();
        private final Deque<Waiting> reading = new ArrayDeque<>();

        int size() {
            return changing.size() + reading.size();
        }

        /** Where the first work is that may run now, or null. */
        Deque<Waiting> first(boolean mayChange) {
            boolean change = mayChange && !changing.isEmpty();
            if (change && (reading.isEmpty() || changing.peek().number < reading.peek().number)) {
                return changing;
            }
            return reading.isEmpty() ? null : reading;
        }
    }

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
