package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/** What came of a transaction. */
public record TransactionResult(Kind kind, long revision, ImmutableList<String> failed) {
    /** How it ended. */
    public enum Kind {
        COMMITTED,
        /** A guard did not hold; {@link TransactionResult#failed} names its keys. */
        CONFLICT,
        /** The grant that a key should hang on is gone. */
        LEASE_NOT_FOUND,
        /** Certainly not carried out, and not to be sent again: the service calls it malformed. */
        REJECTED,
        /** Certainly not carried out, now. */
        REFUSED,
        /** It may have been carried out, or may yet be. */
        UNKNOWN
    }

    /** A result without revision or failed keys. */
    public static TransactionResult of(Kind kind) {
        return new TransactionResult(kind, 0, ImmutableList.of());
    }

    /** True if the changes were made. */
    public boolean committed() {
        return kind == Kind.COMMITTED;
    }
}
