package org.spruceridge.cluster;

/**
 * The version of the newest accepted heartbeat of a worker. Versions are ordered by incarnation, then by sequence
 * number. The worker increments the incarnation with each new lease and the sequence number with each heartbeat.
 */
public final class HeartbeatVersion {
    private long incarnation;
    private long sequence;
    private long lowestAcceptedIncarnation;

    HeartbeatVersion() {}

    /** The incarnation of the newest accepted heartbeat; 0 before the first accepted heartbeat. */
    public long incarnation() {
        return incarnation;
    }

    /** True if the heartbeat is newer than all accepted heartbeats and its incarnation is not known to have ended. */
    public boolean isSupersededBy(long heartbeatIncarnation, long heartbeatSequence) {
        if (heartbeatIncarnation < lowestAcceptedIncarnation) {
            return false;
        }
        return heartbeatIncarnation > incarnation
                || (heartbeatIncarnation == incarnation && heartbeatSequence > sequence);
    }

    /** True if the given incarnation is newer than the incarnation of the newest accepted heartbeat. */
    public boolean isNewIncarnation(long heartbeatIncarnation) {
        return heartbeatIncarnation > incarnation;
    }

    /** True once a heartbeat with an incarnation above 0 has been accepted. */
    boolean hasIncarnation() {
        return incarnation > 0;
    }

    void accept(long heartbeatIncarnation, long heartbeatSequence) {
        incarnation = heartbeatIncarnation;
        sequence = heartbeatSequence;
    }

    /** Causes all further heartbeats of the current incarnation to be rejected. */
    void endIncarnation() {
        lowestAcceptedIncarnation = incarnation + 1;
    }
}
