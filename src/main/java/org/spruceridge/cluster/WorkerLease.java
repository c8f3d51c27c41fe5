package org.spruceridge.cluster;

/**
 * What the leader knows of the lease of one worker: when it was last renewed, and whether the worker has accepted the
 * fencing token of this term. All times are nanoseconds on the steady clock.
 */
public final class WorkerLease {
    private long lastHeartbeat;
    private long lastRenewal;
    private boolean fenced;
    private long fencingTokenSentAt = EventTimes.NOT_HAPPENED;

    WorkerLease(long lastHeartbeat, long lastRenewal) {
        this.lastHeartbeat = lastHeartbeat;
        this.lastRenewal = lastRenewal;
    }

    /** When the worker last sent a heartbeat that was accepted; before that, when the leader learned of the machine. */
    public long lastHeartbeat() {
        return lastHeartbeat;
    }

    void recordHeartbeat(long now) {
        lastHeartbeat = now;
    }

    /** The latest time at which a lease of the worker can have started or been renewed. */
    public long lastRenewal() {
        return lastRenewal;
    }

    /** Records that a heartbeat is answered; {@code tokenAccepted} if it carried the fencing token of this term. */
    public void recordRenewal(long now, boolean tokenAccepted) {
        lastRenewal = now;
        fencingTokenSentAt = tokenAccepted ? EventTimes.NOT_HAPPENED : Math.min(fencingTokenSentAt, now);
    }

    /** Records that a heartbeat was answered at the given time, before the failover made the machine known. */
    public void recordRenewalDuringFailover(long renewedAt) {
        lastRenewal = Math.max(lastRenewal, renewedAt);
    }

    /** True once a heartbeat carried the fencing token of this term: the worker rejects all older leaders. */
    public boolean isFenced() {
        return fenced;
    }

    /** Records that a heartbeat carried the fencing token of this term. */
    public void fence() {
        fenced = true;
    }

    /** True if the fencing token of this term was sent longer ago than the timeout and no heartbeat has carried it since. */
    public boolean isFencingOverdue(long now, long timeoutNanos) {
        return now - fencingTokenSentAt > timeoutNanos;
    }

    /**
     * A new incarnation started at some time before {@code now}, and its lease with it. If the last answer to an earlier
     * incarnation counted, tasks that were started directly in the new one would be declared gone while they run.
     */
    void beginIncarnation(long now) {
        lastRenewal = Math.max(lastRenewal, now);
    }

    void endIncarnation() {
        fenced = false;
        fencingTokenSentAt = EventTimes.NOT_HAPPENED;
    }
}
