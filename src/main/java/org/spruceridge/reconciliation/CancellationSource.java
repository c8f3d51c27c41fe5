package org.spruceridge.reconciliation;

/** How a leader came to know that a job was cancelled. */
public enum CancellationSource {
    /** A change of the watched open entries. */
    WATCH("the watch of open jobs"),
    /** A listing of the open entries that lacks the job. */
    LISTING("a listing of open jobs"),
    /** The heartbeat of the node that told the user. */
    HEARTBEAT("a heartbeat"),
    /** A write of ours that failed on the job's guard. */
    FAILED_GUARD("a failed guard");

    private final String words;

    CancellationSource(String words) {
        this.words = words;
    }

    @Override
    public String toString() {
        return words;
    }
}
