package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/** What came of a transaction. */
public record TransactionResult(Outcome outcome, long revision, ImmutableList<String> conflictingKeys) {
    /** How it ended. */
    public enum Outcome {
        COMMITTED,
        /** A guard did not hold; {@link TransactionResult#conflictingKeys} names its keys. */
        CONFLICT,
        /** The grant that a key should hang on is gone. */
        LEASE_NOT_FOUND,
        /** Certainly not carried out, and not to be sent again: the service calls it malformed. */
        MALFORMED,
        /** Certainly not carried out, now. */
        NOT_EXECUTED,
        /** It may have been carried out, or may yet be. */
        UNKNOWN
    }

    /** A result without revision or failed keys. */
    public static TransactionResult of(Outcome outcome) {
        return new TransactionResult(outcome, 0, ImmutableList.of());
    }

    /** True if the changes were made. */
    public boolean isCommitted() {
        return outcome == Outcome.COMMITTED;
    }
}
