package org.spruceridge.cluster;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Start commands that were sent to the current incarnation of a worker and can still be executed. A start command is
 * sent directly, in a request to the worker, or in the response to a heartbeat.
 */
public final class StartCommands {
    private final Set<Long> unresolvedDirectStarts = new HashSet<>();
    /** The attempts that the response to the latest heartbeat starts. */
    private final Set<Long> startsInResponse = new HashSet<>();

    private boolean startUncertain;

    StartCommands() {}

    /**
     * True if a start command for this attempt can still be executed although the worker has not listed the attempt: it
     * was sent directly and has no result yet, or it is in the response to the latest heartbeat.
     */
    public boolean canStillArrive(long attempt) {
        return isDirectStartUnresolved(attempt) || startsInResponse.contains(attempt);
    }

    /** True if a start command for this attempt was sent directly and has no result yet. */
    public boolean isDirectStartUnresolved(long attempt) {
        return unresolvedDirectStarts.contains(attempt);
    }

    /** Records that a start command for this attempt is sent directly. */
    public void recordDirectStartSent(long attempt) {
        unresolvedDirectStarts.add(attempt);
    }

    /** Records that the result of the direct start command for this attempt is known. */
    public void recordDirectStartResolved(long attempt) {
        unresolvedDirectStarts.remove(attempt);
    }

    /** Records the attempts that the response to the latest heartbeat starts. */
    public void recordResponse(Collection<Long> startedAttempts) {
        startsInResponse.clear();
        startsInResponse.addAll(startedAttempts);
    }

    /**
     * Records that a newer heartbeat arrived. A worker sends a heartbeat only once it has executed the response to the
     * previous one or will ignore it, because the worker has at most one heartbeat in flight.
     */
    void recordHeartbeat() {
        startsInResponse.clear();
    }

    /** True if a direct start command to this incarnation got no response. Such a command can still arrive. */
    public boolean hasUncertainStart() {
        return startUncertain;
    }

    /** Records that the worker did not respond to a direct start command. */
    public void markStartUncertain() {
        startUncertain = true;
    }

    /**
     * Discards all start commands. A worker rejects direct commands to an earlier incarnation, and ignores responses to
     * heartbeats of an earlier incarnation.
     */
    void clear() {
        unresolvedDirectStarts.clear();
        startsInResponse.clear();
        startUncertain = false;
    }
}
