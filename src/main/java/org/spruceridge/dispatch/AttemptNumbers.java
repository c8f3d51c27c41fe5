package org.spruceridge.dispatch;

/**
 * Numbers the attempts of a term. An attempt has the term in its upper bits and a counter below, so that attempts grow over
 * all terms although none is stored.
 */
final class AttemptNumbers {
    private static final int COUNTER_BITS = 24;

    /** How many attempts a term has; a term ends before they are used up. */
    static final long MAX_PER_TERM = (1L << COUNTER_BITS) - 1;

    private final long term;
    private long used;

    AttemptNumbers(long term) {
        this.term = term;
    }

    boolean hasRemaining(int count) {
        return used + count <= MAX_PER_TERM;
    }

    long next() {
        used++;
        return (term << COUNTER_BITS) + used;
    }

    /** Records that {@code count} attempts of the term are used. */
    void recordUsed(long count) {
        used = count;
    }
}
