package org.spruceridge.cluster;

/**
 * The version of the newest accepted heartbeat of a worker, ordered by (incarnation, sequence). The worker increments
 * the incarnation with each new lease and the sequence with each heartbeat.
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

    /** True if the heartbeat is newer than all accepted ones and its incarnation is not known to have ended. */
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

    /** True once a heartbeat with an incarnation has been accepted. */
    boolean hasIncarnation() {
        return incarnation > 0;
    }

    void accept(long heartbeatIncarnation, long heartbeatSequence) {
        incarnation = heartbeatIncarnation;
        sequence = heartbeatSequence;
    }

    /** Rejects all further heartbeats of the current incarnation. */
    void endIncarnation() {
        lowestIncarnation = incarnation + 1;
    }
}
