package org.spruceridge.cluster;

/** Whether, and at which time, the cloud will reclaim a spot machine, according to the last heartbeat. */
public final class SpotReclaim {
    private long reclaimAt = EventTimes.NOT_HAPPENED;

    SpotReclaim() {}

    /** True if the cloud has announced that it will reclaim the machine. */
    public boolean isAnnounced() {
        return EventTimes.hasHappened(reclaimAt);
    }

    /** The time of the reclaim in monotonic nanoseconds; meaningful only if {@link #isAnnounced()} is true. */
    public long reclaimAt() {
        return reclaimAt;
    }

    /** Records the time at which the cloud will reclaim the machine, in monotonic nanoseconds. */
    public void announce(long reclaimAtNanos) {
        reclaimAt = reclaimAtNanos;
    }

    /** Clears the notice, because the last heartbeat contained none. */
    public void withdraw() {
        reclaimAt = EventTimes.NOT_HAPPENED;
    }
}
