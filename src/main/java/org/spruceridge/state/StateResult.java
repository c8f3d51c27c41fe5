package org.spruceridge.state;

/** What came of a read or a call on a grant. */
public record StateResult<T>(Outcome outcome, T value) {
    /** How it ended. */
    public enum Outcome {
        OK,
        /** There is no such key or grant. */
        NOT_FOUND,
        /** The revision asked for is too old. */
        REVISION_COMPACTED,
        /** Refused, or no answer: nothing is known. */
        UNAVAILABLE,
        /** There is a value, which this version does not understand. */
        UNSUPPORTED_VALUE
    }

    /** The request was carried out. */
    public static <T> StateResult<T> ok(T value) {
        return new StateResult<>(Outcome.OK, value);
    }

    /** The request was not carried out, for this reason. */
    public static <T> StateResult<T> failed(Outcome outcome) {
        return new StateResult<>(outcome, null);
    }

    /** True if the request was carried out. */
    public boolean isOk() {
        return outcome == Outcome.OK;
    }
}
