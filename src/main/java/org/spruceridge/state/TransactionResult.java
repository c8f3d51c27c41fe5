package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/**
 * The outcome of a transaction.
 *
 * @param revision the revision at which the changes were applied; 0 if they were not, or not known to be, applied
 * @param conflictingKeys the keys whose comparison failed; empty unless the outcome is {@link Outcome#CONFLICT}
 */
public record TransactionResult(Outcome outcome, long revision, ImmutableList<String> conflictingKeys) {
    /** The possible outcomes of a transaction. */
    public enum Outcome {
        COMMITTED,
        /** At least one comparison failed, see {@link TransactionResult#conflictingKeys}. */
        CONFLICT,
        /** The lease of a key to be written does not exist. */
        LEASE_NOT_FOUND,
        /** The service rejected the transaction as malformed. It was not executed and must not be retried. */
        MALFORMED,
        /** The transaction was not executed because of a rate limit or an outage. A retry is safe. */
        NOT_EXECUTED,
        /** Whether the service executed the transaction, or will still execute it, is unknown. */
        UNKNOWN
    }

    /** Returns the result of a transaction whose changes were applied at the given revision. */
    public static TransactionResult committed(long revision) {
        return new TransactionResult(Outcome.COMMITTED, revision, ImmutableList.of());
    }

    /** Returns the result of a transaction that was rejected because the comparisons of these keys failed. */
    public static TransactionResult conflict(ImmutableList<String> conflictingKeys) {
        return new TransactionResult(Outcome.CONFLICT, 0, conflictingKeys);
    }

    /** Returns a result without a revision and without conflicting keys. */
    public static TransactionResult of(Outcome outcome) {
        return new TransactionResult(outcome, 0, ImmutableList.of());
    }

    /** True if the changes are known to have been applied. */
    public boolean isCommitted() {
        return outcome == Outcome.COMMITTED;
    }
}
