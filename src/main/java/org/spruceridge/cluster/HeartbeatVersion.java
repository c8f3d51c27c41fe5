package org.spruceridge.cluster;

/**
 * The newest heartbeat that was accepted from one worker, ordered by (incarnation, sequence). The worker increases the
 * incarnation with each of its leases, and the sequence with each heartbeat.
 */
public final class HeartbeatVersion {
    private long incarnation;
    private long sequence;
    private long lowestIncarnation;

    HeartbeatVersion() {}

    /** The incarnation of the newest accepted heartbeat; 0 before the first one. */
    public long incarnation() {
        return incarnation;
    }

    /** True if the given heartbeat is newer than all accepted ones and its incarnation is not known to have ended. */
    public boolean isSupersededBy(long heartbeatIncarnation, long heartbeatSequence) {
        if (heartbeatIncarnation < lowestIncarnation) {
            return false;
        }
        return heartbeatIncarnation > incarnation
                || (heartbeatIncarnation == incarnation && heartbeatSequence > sequence);
    }

    /** True if the given incarnation is newer than that of the newest accepted heartbeat. */
    public boolean isNewIncarnation(long heartbeatIncarnation) {
        return heartbeatIncarnation > incarnation;
    }

    /** True once a heartbeat that names an incarnation was accepted. */
    boolean hasIncarnation() {
        return incarnation > 0;
    }

    void accept(long heartbeatIncarnation, long heartbeatSequence) {
        incarnation = heartbeatIncarnation;
        sequence = heartbeatSequence;
    }

    /** Rejects all heartbeats of the present incarnation from now on. */
    void endIncarnation() {
        lowestIncarnation = incarnation + 1;
    }
}
