package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/**
 * The outcome of a transaction.
 *
 * @param revision the revision of the changes if they were applied, otherwise 0
 * @param conflictingKeys the keys whose comparison failed; empty unless the outcome is {@link Outcome#CONFLICT}
 */
public record TransactionResult(Outcome outcome, long revision, ImmutableList<String> conflictingKeys) {
    /** How a transaction ended. */
    public enum Outcome {
        COMMITTED,
        /** At least one comparison failed, see {@link TransactionResult#conflictingKeys}. */
        CONFLICT,
        /** The lease for one of the keys does not exist. */
        LEASE_NOT_FOUND,
        /** Not executed and not to be retried, because the service rejected it as malformed. */
        MALFORMED,
        /** Not executed because of a rate limit or an outage; it may be retried. */
        NOT_EXECUTED,
        /** It may have been executed, or may still be executed later. */
        UNKNOWN
    }

    /** A transaction whose changes were applied at this revision. */
    public static TransactionResult committed(long revision) {
        return new TransactionResult(Outcome.COMMITTED, revision, ImmutableList.of());
    }

    /** A transaction that was rejected because the comparisons of these keys failed. */
    public static TransactionResult conflict(ImmutableList<String> conflictingKeys) {
        return new TransactionResult(Outcome.CONFLICT, 0, conflictingKeys);
    }

    /** A result without a revision and conflicting keys. */
    public static TransactionResult of(Outcome outcome) {
        return new TransactionResult(outcome, 0, ImmutableList.of());
    }

    /** True if the changes were applied. */
    public boolean isCommitted() {
        return outcome == Outcome.COMMITTED;
    }
}
