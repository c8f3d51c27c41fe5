package org.spruceridge.cloud;

import com.google.common.collect.ImmutableList;

/** The result of a launch request: its outcome, and the names of the machines that were launched. */
public record LaunchResult(Kind kind, ImmutableList<String> machines) {
    /** The outcome. */
    public enum Kind {
        LAUNCHED,
        /** The cloud has no machine of this type, zone and kind now. */
        NO_CAPACITY,
        /** Refused for now: too many requests, or an outage. It may be retried. */
        REFUSED,
        /** The request is invalid. */
        REJECTED,
        /** No answer: machines may have been launched. The same request id has to be sent again. */
        UNKNOWN
    }

    static LaunchResult of(Kind kind) {
        return new LaunchResult(kind, ImmutableList.of());
    }
}
