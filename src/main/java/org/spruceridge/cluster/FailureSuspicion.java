package org.spruceridge.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * Signs that a machine is faulty. The machine is <em>suspect</em> while commands possibly do not reach its worker. The
 * machine is <em>cordoned</em> once tasks of several jobs have failed on it. A machine that is declared dead is
 * deleted, see {@link Machine#isTerminating()}.
 */
public final class FailureSuspicion {
    private final Set<String> failedJobs = new HashSet<>();
    private long suspectSince = EventTimes.NOT_HAPPENED;
    private boolean cordoned;

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

    /** True if the scheduler places no more tasks on the machine because tasks of several jobs failed on it. */
    public boolean isCordoned() {
        return cordoned;
    }

    /** Permanently excludes the machine from scheduling. */
    public void cordon() {
        cordoned = true;
    }

    /**
     * The ids of the jobs whose tasks have failed on this machine since a task last completed on the machine. Callers
     * change the set directly.
     */
    public Set<String> failedJobs() {
        return failedJobs;
    }
}
