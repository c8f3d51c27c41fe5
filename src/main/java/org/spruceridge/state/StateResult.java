package org.spruceridge.state;

import java.util.Optional;

/**
 * The outcome of a read, a watch or a call on a lease.
 *
 * @param content present if and only if the outcome is {@link Outcome#OK}
 */
public record StateResult<T>(Outcome outcome, Optional<T> content) {
    /** How a request ended. */
    public enum Outcome {
        OK,
        /** The key or lease does not exist. */
        NOT_FOUND,
        /** The service no longer keeps the changes after the revision asked for. */
        REVISION_COMPACTED,
        /** Refused, or no response: the state is not known. */
        UNAVAILABLE,
        /** There is a value that this version does not understand. */
        UNSUPPORTED_VALUE
    }

    /** The request was executed. */
    public static <T> StateResult<T> ok(T value) {
        return new StateResult<>(Outcome.OK, Optional.of(value));
    }

    /** The request was not executed, for this reason. */
    public static <T> StateResult<T> failed(Outcome outcome) {
        return new StateResult<>(outcome, Optional.empty());
    }

    /** True if the request was executed. */
    public boolean isOk() {
        return outcome == Outcome.OK;
    }

    /** The value read; only to be asked for if {@link #isOk}. */
    public T value() {
        return content.orElseThrow();
    }
}
