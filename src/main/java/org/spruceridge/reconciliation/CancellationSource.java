package org.spruceridge.reconciliation;

/** How the leader learned that a job was cancelled. */
public enum CancellationSource {
    /** A change of the watched open entries. */
    WATCH("watch"),
    /** A listing of the open entries that lacks the job. */
    LISTING("listing"),
    /** The heartbeat of the node that confirmed the cancellation to the user. */
    HEARTBEAT("peer-heartbeat"),
    /** A write of this leader that failed on the job's guard. */
    FAILED_GUARD("failed-guard");

    private final String logValue;

    CancellationSource(String logValue) {
        this.logValue = logValue;
    }

    /** The value for log lines. */
    @Override
    public String toString() {
        return logValue;
    }
}
