package org.spruceridge.reconciliation;

/** How the leader learned that a job was cancelled. */
public enum CancellationSource {
    /** The watch reported a change of the open entries. */
    WATCH("watch"),
    /** A listing of the open entries does not contain the job. */
    LISTING("listing"),
    /** The heartbeat of the node that confirmed the cancellation to the user reported it. */
    HEARTBEAT("peer-heartbeat"),
    /** A transaction of this leader failed the comparison of the job's open entry. */
    FAILED_GUARD("failed-guard");

    private final String logValue;

    CancellationSource(String logValue) {
        this.logValue = logValue;
    }

    /** The value to log. */
    @Override
    public String toString() {
        return logValue;
    }
}
