package org.spruceridge.state;

import java.util.Optional;

/**
 * The outcome of a read, a watch or a lease operation.
 *
 * @param content present if and only if the outcome is {@link Outcome#OK}
 */
public record StateResult<T>(Outcome outcome, Optional<T> content) {
    /** The possible outcomes of a request. */
    public enum Outcome {
        OK,
        /** The key or lease does not exist. */
        NOT_FOUND,
        /** The service no longer has the changes after the requested revision. */
        REVISION_COMPACTED,
        /** The request was rejected or got no usable response. The stored state is unknown. */
        UNAVAILABLE,
        /** The key has a value that this version cannot read. */
        UNSUPPORTED_VALUE
    }

    /** Returns the result of a request that succeeded, with the given content. */
    public static <T> StateResult<T> ok(T value) {
        return new StateResult<>(Outcome.OK, Optional.of(value));
    }

    /** Returns the result of a request that did not succeed, with the given outcome. */
    public static <T> StateResult<T> failed(Outcome outcome) {
        return new StateResult<>(outcome, Optional.empty());
    }

    /** True if the request succeeded. */
    public boolean isOk() {
        return outcome == Outcome.OK;
    }

    /** The content; throws {@link java.util.NoSuchElementException} unless {@link #isOk}. */
    public T value() {
        return content.orElseThrow();
    }
}
