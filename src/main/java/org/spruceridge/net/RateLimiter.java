package org.spruceridge.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Allowances a second, of requests and of changes, handed out by rank. Work that finds none left waits its turn in a
 * bounded queue, so the service behind is never asked for more than its published limit. Work that only reads never
 * waits for changes, and users' changes have an allowance of their own: however much a leader has to write, the users
 * that come to its node are taken like those that come to others.
 */
public final class RateLimiter {
    /** What the work is for; earlier ranks go first. */
    public enum Priority {
        LEASE_RENEWAL,
        HEARTBEATS,
        SCHEDULING,
        SUBMISSIONS
    }

    private static final int QUEUE_LIMIT = 256;
    /** A user who would wait longer than this for a turn is better told at once to come back. */
    private static final double LONGEST_WAIT_S = 1;

    private final Loop loop;
    private final Allowance requests;
    private final Allowance changes;
    private final Allowance usersChanges;
    private final Map<Priority, Queue> queues = new EnumMap<>(Priority.class);
    private Cancellable wakeUp;
    private long taken;

    /** The rates are those of requests, of changes, and of users' changes, a second; users have no burst of their own. */
    public RateLimiter(Loop loop, double requestsPerS, double changesPerS, double usersChangesPerS) {
        this.loop = loop;
        this.requests = new Allowance(requestsPerS, 1, loop.nanos());
        this.changes = new Allowance(changesPerS, 1, loop.nanos());
        this.usersChanges = new Allowance(usersChangesPerS, 1, loop.nanos());
        for (Priority priority : Priority.values()) {
            queues.put(priority, new Queue());
        }
    }

    /**
     * Changes the rates, as when this node begins or ceases to lead. Users come together: a node that has been idle takes
     * {@code usersBurst} changes of theirs at once.
     */
    public void setRates(double requestsPerS, double changesPerS, double usersChangesPerS, double usersBurst) {
        long now = loop.nanos();
        requests.rate(requestsPerS, now);
        changes.rate(changesPerS, now);
        usersChanges.rate(usersChangesPerS, now);
        usersChanges.least(usersBurst);
    }

    /** Runs the work when its turn comes; false if too much is waiting already, and then it never runs. */
    public boolean submit(Priority priority, int changeCount, Runnable work) {
        return submit(priority, changeCount, () -> {
            work.run();
            return changeCount;
        });
    }

    /** The same for work that tells only at its turn how many changes it makes, at most {@code mostChanges}. */
    public boolean submit(Priority priority, int mostChanges, IntSupplier work) {
        Queue queue = queues.get(priority);
        if (queue.size() >= QUEUE_LIMIT || (priority == Priority.SUBMISSIONS && waitS(queue) > LONGEST_WAIT_S)) {
            return false;
        }
        (mostChanges > 0 ? queue.changing : queue.reading).add(new Waiting(++taken, mostChanges, work));
        drain();
        return true;
    }

    private double waitS(Queue queue) {
        int queued = queue.changing.stream().mapToInt(Waiting::mostChanges).sum();
        return Math.max(queue.size() / requests.perS, queued / usersChanges.perS);
    }

    private void drain() {
        if (wakeUp != null) {
            wakeUp.cancel();
            wakeUp = null;
        }
        Turn turn = nextTurn();
        while (turn.queue != null) {
            run(turn.queue.remove(), turn.changes);
            turn = nextTurn();
        }
        if (wakeUp != null) {
            wakeUp.cancel(); // set by work that submitted more work
            wakeUp = null;
        }
        if (turn.waitNanos > 0) {
            wakeUp = loop.after(turn.waitNanos, this::drain);
        }
    }

    /** Where the next work is that may run now and what its changes are taken from; else how long there is to wait. */
    private record Turn(Deque<Waiting> queue, Allowance changes, long waitNanos) {}

    private Turn nextTurn() {
        long now = loop.nanos();
        long forRequest = requests.waitFor(1, now);
        long wait = Long.MAX_VALUE;
        boolean changesShort = false;
        for (Priority priority : Priority.values()) {
            Queue queue = queues.get(priority);
            Allowance from = priority == Priority.SUBMISSIONS ? usersChanges : changes;
            boolean mayChange = !queue.changing.isEmpty();
            if (mayChange) {
                long forChanges = from.waitFor(queue.changing.peek().mostChanges, now);
                wait = forChanges > 0 ? Math.min(wait, forChanges) : wait;
                // Once changes are short for a rank, none after it may take what it waits for.
                mayChange = forChanges == 0 && !(changesShort && from == changes);
                changesShort |= forChanges > 0 && from == changes;
            }
            Deque<Waiting> next = queue.first(mayChange);
            if (next != null) {
                return forRequest > 0 ? new Turn(null, null, forRequest) : new Turn(next, from, 0);
            }
        }
        return new Turn(null, null, wait == Long.MAX_VALUE ? 0 : wait);
    }

    private void run(Waiting work, Allowance from) {
        requests.take(1);
        from.take(work.mostChanges);
        from.take(work.work.getAsInt() - work.mostChanges);
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

    /** A bucket that fills at a rate and holds one second's worth, or a least amount if that is more. */
    private static final class Allowance {
        private double least;
        private double perS;
        private double held;
        private long at;

        Allowance(double perS, double least, long now) {
            this.least = least;
            this.perS = perS;
            this.held = most();
            this.at = now;
        }

        private double most() {
            return Math.max(least, perS);
        }

        void rate(double newPerS, long now) {
            fill(now);
            perS = newPerS;
            held = Math.min(held, most());
        }

        /** Holds at least so much when full. */
        void least(double amount) {
            double before = most();
            least = Math.max(1, amount);
            held = Math.min(held + Math.max(0, most() - before), most());
        }

        /** More than a full bucket is lent once the bucket is full. */
        long waitFor(int count, long now) {
            fill(now);
            double missing = Math.min(count, most()) - held;
            return missing <= 1e-9 ? 0 : Math.max(1, (long) (missing / perS * 1e9));
        }

        void take(int count) {
            held -= count;
        }

        private void fill(long now) {
            held = Math.min(most(), held + perS * (now - at) / 1e9);
            at = now;
        }
    }
}
