package org.spruceridge.term;

/** How a worker heartbeat was answered. Only the first three outcomes renew the worker's lease. */
public enum HeartbeatOutcome {
    /** Answered without a stop command. */
    ANSWERED,
    /** Answered with at least one stop command. */
    ANSWERED_WITH_STOPS,
    /** Answered before the failover was complete. */
    ANSWERED_DURING_FAILOVER,
    /** Redirected to the leader. */
    REDIRECTED,
    /** Refused, because no leader is known. */
    NO_LEADER,
    /** Refused by the leader, because its view of cancelled jobs is too old. */
    STALE_VIEW,
    /** Refused, because the worker has seen a newer term. */
    NEWER_TERM,
    /** Refused by the leader, to let the lease of an unresponsive worker expire. */
    RESPONSE_WITHHELD,
    /** Refused, because it cannot be parsed. */
    UNREADABLE
}
