package org.spruceridge.dispatch;

/**
 * Allocates the attempt numbers of a term. An attempt number has the number of the election in its upper bits and a
 * counter in its lower bits. Therefore attempt numbers increase across terms, although the counter is not stored.
 */
final class AttemptNumbers {
    private static final int COUNTER_BITS = 24;

    /** The number of attempt numbers available in a term. The leader resigns before they run out. */
    static final long MAX_PER_TERM = (1L << COUNTER_BITS) - 1;

    private final long election;
    private long usedCount;

    AttemptNumbers(long election) {
        this.election = election;
    }

    boolean hasRemaining(int count) {
        return usedCount + count <= MAX_PER_TERM;
    }

    long next() {
        usedCount++;
        return (election << COUNTER_BITS) + usedCount;
    }

    /** Records that the term has already used {@code count} attempt numbers. */
    void recordUsed(long count) {
        usedCount = count;
    }
}
