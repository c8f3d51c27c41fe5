package org.spruceridge.term;

/** What became of a worker's report. Only the first three renew the worker's lease. */
public enum HeartbeatOutcome {
    /** Answered, with no stop among the orders. */
    ANSWERED,
    /** Answered with at least one stop. */
    ANSWERED_WITH_STOPS,
    /** Answered while the failover was under way. */
    ANSWERED_DURING_FAILOVER,
    /** Sent to the node that leads. */
    REDIRECTED,
    /** Refused, for no leader is known. */
    NO_LEADER,
    /** Refused by the leader, whose view of cancellations is too old. */
    STALE_VIEW,
    /** Refused, for the worker has seen a newer term. */
    NEWER_TERM,
    /** Not answered, so that the lease of a worker that is not reached runs out. */
    RESPONSE_WITHHELD,
    /** Not a report. */
    UNREADABLE
}
