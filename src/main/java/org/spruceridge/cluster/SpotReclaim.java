package org.spruceridge.cluster;

/** The notice that the cloud is about to reclaim a spot machine, as reported by the last heartbeat. */
public final class SpotReclaim {
    private long reclaimAt = EventTimes.NOT_HAPPENED;

    SpotReclaim() {}

    /** True if the cloud has announced that it will reclaim the machine. */
    public boolean isAnnounced() {
        return EventTimes.hasHappened(reclaimAt);
    }

    /** When the cloud will reclaim the machine, in monotonic nanoseconds; meaningful only if announced. */
    public long reclaimAt() {
        return reclaimAt;
    }

    /** Records when the cloud will reclaim the machine. */
    public void announce(long reclaimAtNanos) {
        reclaimAt = reclaimAtNanos;
    }

    /** Clears the notice: the last heartbeat contained none. */
    public void withdraw() {
        reclaimAt = EventTimes.NOT_HAPPENED;
    }
}
