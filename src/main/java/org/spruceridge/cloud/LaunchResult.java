package org.spruceridge.cloud;

import com.google.common.collect.ImmutableList;

/** The result of a launch request: the outcome, and the names of the launched machines. */
public record LaunchResult(Kind kind, ImmutableList<String> machines) {
    /** The outcome of a launch request. */
    public enum Kind {
        LAUNCHED,
        /** The cloud currently has no capacity for this type, zone and purchase option (spot or on-demand). */
        NO_CAPACITY,
        /** The cloud refused the request temporarily, because of rate limiting or an outage. A retry is possible. */
        REFUSED,
        /** The request is invalid. */
        REJECTED,
        /**
         * There was no usable response, so machines might have been launched. The request must be retried with the same
         * id.
         */
        UNKNOWN
    }

    static LaunchResult of(Kind kind) {
        return new LaunchResult(kind, ImmutableList.of());
    }
}
