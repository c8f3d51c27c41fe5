package org.spruceridge.state;

/** What came of a read or a call on a grant. */
public record Result<T>(Kind kind, T value) {
    /** How it ended. */
    public enum Kind {
        OK,
        /** There is no such key or grant. */
        MISSING,
        /** The revision asked for is too old. */
        TOO_OLD,
        /** Refused, or no answer: nothing is known. */
        UNAVAILABLE,
        /** There is a value, which this version does not understand. */
        INVALID
    }

    /** The request was carried out. */
    public static <T> Result<T> ok(T value) {
        return new Result<>(Kind.OK, value);
    }

    /** The request was not carried out, for this reason. */
    public static <T> Result<T> failed(Kind kind) {
        return new Result<>(kind, null);
    }

    /** True if the request was carried out. */
    public boolean isOk() {
        return kind == Kind.OK;
    }
}
