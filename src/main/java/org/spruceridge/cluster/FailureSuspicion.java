package org.spruceridge.cluster;

/**
 * The suspicion that a machine is unreachable. The machine is <em>suspect</em> while commands possibly do not reach its
 * worker. A machine that is declared dead is deleted, see {@link Machine#isTerminating()}.
 */
public final class FailureSuspicion {
    private long suspectSince = EventTimes.NOT_HAPPENED;

    FailureSuspicion() {}

    /** True if heartbeats arrive, but commands and responses possibly do not reach the worker. */
    public boolean isSuspect() {
        return EventTimes.hasHappened(suspectSince);
    }

    /** The time at which the machine became suspect; {@link EventTimes#NOT_HAPPENED} if the machine is not suspect. */
    long suspectSince() {
        return suspectSince;
    }

    /** Marks the machine as suspect. Keeps the earlier time if the machine is already suspect. */
    void suspect(long now) {
        if (!isSuspect()) {
            suspectSince = now;
        }
    }

    /** Records that the worker executed or answered a command. The machine is no longer suspect. */
    public void recordAcknowledgement() {
        suspectSince = EventTimes.NOT_HAPPENED;
    }
}
