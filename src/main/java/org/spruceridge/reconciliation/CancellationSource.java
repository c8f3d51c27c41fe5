package org.spruceridge.reconciliation;

/** The way in which the leader learned that a job was cancelled. */
public enum CancellationSource {
    /** The watch reported a change of the open entries. */
    WATCH("watch"),
    /** A listing of the open entries does not contain the job. */
    LISTING("listing"),
    /** A node confirmed the cancellation to the user and reported it in its heartbeat. */
    HEARTBEAT("peer-heartbeat"),
    /** A transaction of this leader failed because its guard on the job's open entry did not hold. */
    FAILED_GUARD("failed-guard");

    private final String logValue;

    CancellationSource(String logValue) {
        this.logValue = logValue;
    }

    /** The name of the source in log lines. */
    @Override
    public String toString() {
        return logValue;
    }
}
