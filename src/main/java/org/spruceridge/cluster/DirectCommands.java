package org.spruceridge.cluster;

import java.util.HashSet;
import java.util.Set;

/** The start commands that were sent directly to one worker in its present incarnation and may still arrive. */
public final class DirectCommands {
    private final Set<Long> unresolvedStarts = new HashSet<>();
    private boolean startUncertain;

    DirectCommands() {}

    /** True if a direct start of this attempt has no result yet. */
    public boolean isStartUnresolved(long attempt) {
        return unresolvedStarts.contains(attempt);
    }

    /** Records that a start of this attempt is sent. */
    public void startSent(long attempt) {
        unresolvedStarts.add(attempt);
    }

    /** Records that the result of a start of this attempt is known. */
    public void startResolved(long attempt) {
        unresolvedStarts.remove(attempt);
    }

    /** True if a direct start of this incarnation was never answered, so that it may arrive late. */
    public boolean hasUncertainStart() {
        return startUncertain;
    }

    /** Records that a direct start was not answered. */
    public void markStartUncertain() {
        startUncertain = true;
    }

    /** Forgets all starts: a worker rejects commands that were sent to another incarnation of it. */
    void clear() {
        unresolvedStarts.clear();
        startUncertain = false;
    }
}
