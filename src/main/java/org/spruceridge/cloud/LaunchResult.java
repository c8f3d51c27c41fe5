package org.spruceridge.cloud;

import com.google.common.collect.ImmutableList;

/** What came of a rental request. */
public record LaunchResult(Kind kind, ImmutableList<String> machines) {
    /** How it ended. */
    public enum Kind {
        LAUNCHED,
        /** None of this type, zone and kind is to be had now. */
        NO_CAPACITY,
        /** Refused for now: too many requests, or an outage. */
        REFUSED,
        /** The request itself is wrong. */
        REJECTED,
        /** No answer: machines may have been rented; the same claim asks again. */
        UNKNOWN
    }

    static LaunchResult of(Kind kind) {
        return new LaunchResult(kind, ImmutableList.of());
    }
}
