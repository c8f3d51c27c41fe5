package org.spruceridge.cluster;

/**
 * The leader's view of one worker's lease: when it was last renewed, and whether the worker has accepted the fencing
 * token of this term. All times are nanoseconds on the monotonic clock.
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

    /** When the last heartbeat was accepted; before the first one, when the leader learned of the machine. */
    public long lastHeartbeat() {
        return lastHeartbeat;
    }

    void recordHeartbeat(long now) {
        lastHeartbeat = now;
    }

    /** The latest time at which the worker's lease can have started or been renewed. */
    public long lastRenewal() {
        return lastRenewal;
    }

    /** Records that a heartbeat is answered; {@code tokenAccepted} if it contained the fencing token of this term. */
    public void recordRenewal(long now, boolean tokenAccepted) {
        lastRenewal = now;
        fencingTokenSentAt = tokenAccepted ? EventTimes.NOT_HAPPENED : Math.min(fencingTokenSentAt, now);
    }

    /** Records that a heartbeat was answered at the given time, before the failover had loaded the machine. */
    public void recordRenewalDuringFailover(long renewedAt) {
        lastRenewal = Math.max(lastRenewal, renewedAt);
    }

    /** True once a heartbeat contained the fencing token of this term: the worker rejects all older leaders. */
    public boolean isFenced() {
        return fenced;
    }

    /** Records that a heartbeat contained the fencing token of this term. */
    public void fence() {
        fenced = true;
    }

    /**
     * True if this term's fencing token was sent longer ago than the timeout and no heartbeat has contained it since.
     */
    public boolean isFencingOverdue(long now, long timeoutNanos) {
        return now - fencingTokenSentAt > timeoutNanos;
    }

    /**
     * Records that a new incarnation, and with it a new lease, started at some time before {@code now}. If lease expiry
     * were counted from the last response to an earlier incarnation, tasks started directly in the new one would be
     * declared gone while they run.
     */
    void beginIncarnation(long now) {
        lastRenewal = Math.max(lastRenewal, now);
    }

    void endIncarnation() {
        fenced = false;
        fencingTokenSentAt = EventTimes.NOT_HAPPENED;
    }
}
