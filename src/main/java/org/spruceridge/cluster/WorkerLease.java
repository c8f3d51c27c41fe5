package org.spruceridge.cluster;

/**
 * The leader's view of one worker's lease: the times of the last heartbeat and of the last renewal. All times are
 * nanoseconds on the monotonic clock.
 */
public final class WorkerLease {
    private long lastHeartbeat;
    private long lastRenewal;

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

    /** Records that a heartbeat is answered, which renews the lease. */
    public void recordRenewal(long now) {
        lastRenewal = now;
    }

    /** Records that a heartbeat was answered at the given time, which is before the failover loaded the machine. */
    public void recordRenewalDuringFailover(long renewedAt) {
        lastRenewal = Math.max(lastRenewal, renewedAt);
    }

    /**
     * Records that a new incarnation, and therefore a new lease, started before {@code now}. If the lease expiry were
     * counted from the last response to an earlier incarnation, the leader would declare tasks gone that run in the new
     * incarnation because of a direct start command.
     */
    void beginIncarnation(long now) {
        lastRenewal = Math.max(lastRenewal, now);
    }
}
