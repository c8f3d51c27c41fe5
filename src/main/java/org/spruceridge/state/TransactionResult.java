package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/**
 * The outcome of a transaction.
 *
 * @param revision that of the changes, if they were made, else 0
 * @param conflictingKeys the keys whose comparison failed, empty unless the outcome is {@link Outcome#CONFLICT}
 */
public record TransactionResult(Outcome outcome, long revision, ImmutableList<String> conflictingKeys) {
    /** How a transaction ended. */
    public enum Outcome {
        COMMITTED,
        /** A comparison failed; {@link TransactionResult#conflictingKeys} names its keys. */
        CONFLICT,
        /** The lease to which a key should be attached does not exist. */
        LEASE_NOT_FOUND,
        /** Not executed, and not to be retried: the service calls it malformed. */
        MALFORMED,
        /** Not executed, because of a rate limit or an outage; it may be retried. */
        NOT_EXECUTED,
        /** It may have been executed, or may still be. */
        UNKNOWN
    }

    /** The changes were made, at this revision. */
    public static TransactionResult committed(long revision) {
        return new TransactionResult(Outcome.COMMITTED, revision, ImmutableList.of());
    }

    /** The comparisons of these keys failed. */
    public static TransactionResult conflict(ImmutableList<String> conflictingKeys) {
        return new TransactionResult(Outcome.CONFLICT, 0, conflictingKeys);
    }

    /** A result without revision or conflicting keys. */
    public static TransactionResult of(Outcome outcome) {
        return new TransactionResult(outcome, 0, ImmutableList.of());
    }

    /** True if the changes were made. */
    public boolean isCommitted() {
        return outcome == Outcome.COMMITTED;
    }
}
