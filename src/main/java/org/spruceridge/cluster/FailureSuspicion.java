package org.spruceridge.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * Signs that a machine is faulty. It is <em>suspect</em> while commands may not reach its worker, and <em>cordoned</em>
 * once tasks of several jobs have failed on it. A machine that is declared dead is deleted, see
 * {@link Machine#isTerminating()}.
 */
public final class FailureSuspicion {
    private final Set<String> failedJobs = new HashSet<>();
    private long suspectSince = EventTimes.NOT_HAPPENED;
    private boolean cordoned;

    FailureSuspicion() {}

    /** True if heartbeats arrive, but commands and responses may not reach the worker. */
    public boolean isSuspect() {
        return EventTimes.hasHappened(suspectSince);
    }

    /** When the machine became suspect, in monotonic nanoseconds; {@link EventTimes#NOT_HAPPENED} if it is not. */
    long suspectSince() {
        return suspectSince;
    }

    /** Marks the machine as suspect, unless it already is. */
    void suspect(long now) {
        if (!isSuspect()) {
            suspectSince = now;
        }
    }

    /** Records that the worker executed a command or responded to one: the machine is no longer suspect. */
    public void recordAcknowledgement() {
        suspectSince = EventTimes.NOT_HAPPENED;
    }

    /** True if no more tasks are placed on the machine because tasks of several jobs failed on it. */
    public boolean isCordoned() {
        return cordoned;
    }

    /** Excludes the machine from scheduling permanently. */
    public void cordon() {
        cordoned = true;
    }

    /** The ids of jobs whose tasks failed on this machine since a task last completed on it; callers modify the set. */
    public Set<String> failedJobs() {
        return failedJobs;
    }
}
