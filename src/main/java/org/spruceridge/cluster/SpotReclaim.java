package org.spruceridge.cluster;

/** The notice that the cloud is about to reclaim a spot machine, as the last heartbeat had it. */
public final class SpotReclaim {
    private long reclaimAt = EventTimes.NOT_HAPPENED;

    SpotReclaim() {}

    /** True if the cloud has announced that it reclaims the machine. */
    public boolean isAnnounced() {
        return EventTimes.hasHappened(reclaimAt);
    }

    /** When the cloud will reclaim the machine, on the steady clock in nanoseconds; meaningful only if announced. */
    public long reclaimAt() {
        return reclaimAt;
    }

    /** Records when the cloud will reclaim the machine. */
    public void announce(long reclaimAtNanos) {
        reclaimAt = reclaimAtNanos;
    }

    /** Records that there is no notice, or no longer. */
    public void withdraw() {
        reclaimAt = EventTimes.NOT_HAPPENED;
    }
}
