package org.spruceridge.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * Start commands that were sent directly to the current incarnation of a worker and can still arrive. A direct command
 * is sent in a request to the worker, not in the response to a heartbeat.
 */
public final class DirectCommands {
    private final Set<Long> unresolvedStarts = new HashSet<>();
    private boolean startUncertain;

    DirectCommands() {}

    /** True if a start command for this attempt was sent and has no result yet. */
    public boolean isStartUnresolved(long attempt) {
        return unresolvedStarts.contains(attempt);
    }

    /** Records that a start command for this attempt is sent. */
    public void recordStartSent(long attempt) {
        unresolvedStarts.add(attempt);
    }

    /** Records that the result of the start command for this attempt is known. */
    public void recordStartResolved(long attempt) {
        unresolvedStarts.remove(attempt);
    }

    /** True if a start command to this incarnation got no response. Such a command can still arrive. */
    public boolean hasUncertainStart() {
        return startUncertain;
    }

    /** Records that the worker did not respond to a start command. */
    public void markStartUncertain() {
        startUncertain = true;
    }

    /** Discards all start commands, because a worker rejects commands that were sent to an earlier incarnation. */
    void clear() {
        unresolvedStarts.clear();
        startUncertain = false;
    }
}
