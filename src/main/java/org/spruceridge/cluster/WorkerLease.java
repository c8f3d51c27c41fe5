package org.spruceridge.cluster;

/**
 * The leader's view of one worker's lease: the time of the last renewal, and whether the worker has accepted the
 * fencing token of this term. All times are nanoseconds on the monotonic clock.
 */
public final class WorkerLease {
    private long lastHeartbeat;
    private long lastRenewal;
    private boolean fenced;
    private long fencingTokenSentAt = EventTimes.NOT_HAPPENED;
    private long raisedFencingToken;
    private long fencingTokenRaisedAt = EventTimes.NOT_HAPPENED;

    WorkerLease(long lastHeartbeat, long lastRenewal) {
        this.lastHeartbeat = lastHeartbeat;
        this.lastRenewal = lastRenewal;
    }

    /** The time of the last periodic heartbeat; before the first, when the leader learned of the machine. */
    public long lastHeartbeat() {
        return lastHeartbeat;
    }

    void recordHeartbeat(long now) {
        lastHeartbeat = now;
    }

    /** The latest time at which the worker's lease can have been started or renewed. */
    public long lastRenewal() {
        return lastRenewal;
    }

    /**
     * Records that a heartbeat is answered, which renews the lease. {@code tokenAccepted} is true if the heartbeat
     * contained the fencing token of this term.
     */
    public void recordRenewal(long now, boolean tokenAccepted) {
        lastRenewal = now;
        fencingTokenSentAt = tokenAccepted ? EventTimes.NOT_HAPPENED : Math.min(fencingTokenSentAt, now);
    }

    /** Records that a heartbeat was answered at the given time, which is before the failover loaded the machine. */
    public void recordRenewalDuringFailover(long renewedAt) {
        lastRenewal = Math.max(lastRenewal, renewedAt);
    }

    /** True once a heartbeat has contained a fencing token of this term. The worker then rejects older leaders. */
    public boolean isFenced() {
        return fenced;
    }

    /** Records that an accepted heartbeat contained a fencing token of this term. */
    public void fence() {
        fenced = true;
    }

    /** The fencing token to which this leader raised the worker's token; 0 if it has not raised the token. */
    public long raisedFencingToken() {
        return raisedFencingToken;
    }

    /** Records that all further commands and responses to the worker contain this higher fencing token. */
    public void raiseFencingToken(long token, long now) {
        raisedFencingToken = token;
        fencingTokenRaisedAt = now;
    }

    /** True if the worker's fencing token was not raised within the last {@code durationNanos}. */
    public boolean isFencingTokenOlderThan(long durationNanos, long now) {
        return !EventTimes.hasHappened(fencingTokenRaisedAt) || now - fencingTokenRaisedAt > durationNanos;
    }

    /**
     * True if this term's fencing token was sent longer ago than the timeout and no heartbeat has contained the token
     * since then.
     */
    public boolean isFencingOverdue(long now, long timeoutNanos) {
        return now - fencingTokenSentAt > timeoutNanos;
    }

    /**
     * Records that a new incarnation, and therefore a new lease, started before {@code now}. If the lease expiry were
     * counted from the last response to an earlier incarnation, the leader would declare tasks gone that run in the new
     * incarnation because of a direct start command.
     */
    void beginIncarnation(long now) {
        lastRenewal = Math.max(lastRenewal, now);
    }

    void endIncarnation() {
        fenced = false;
        fencingTokenSentAt = EventTimes.NOT_HAPPENED;
    }
}
