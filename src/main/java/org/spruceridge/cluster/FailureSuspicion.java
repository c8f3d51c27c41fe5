package org.spruceridge.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * What speaks against one machine. It is <em>suspect</em> while commands may not reach its worker, and <em>cordoned</em>
 * once tasks of several jobs failed on it. A machine that is declared dead is deleted, see {@link Machine#isTerminating()}.
 */
public final class FailureSuspicion {
    private final Set<String> failedJobs = new HashSet<>();
    private long suspectSince = EventTimes.NOT_HAPPENED;
    private boolean cordoned;

    FailureSuspicion() {}

    /** True if heartbeats arrive, but commands and answers may not reach the worker. */
    public boolean isSuspect() {
        return EventTimes.hasHappened(suspectSince);
    }

    /** Since when the machine has been suspect, on the steady clock in nanoseconds; later than any time if it is not. */
    long suspectSince() {
        return suspectSince;
    }

    /** Makes the machine suspect, unless it already is. */
    void suspect(long now) {
        if (!isSuspect()) {
            suspectSince = now;
        }
    }

    /** Records that the worker carried out or answered a command: the machine is no longer suspect. */
    public void recordAcknowledgement() {
        suspectSince = EventTimes.NOT_HAPPENED;
    }

    /** True if tasks of several jobs failed on the machine, so that it gets no more tasks. */
    public boolean isCordoned() {
        return cordoned;
    }

    /** Excludes the machine from scheduling for good. */
    public void cordon() {
        cordoned = true;
    }

    /** The ids of the jobs that failed on this machine since a task last completed on it. */
    public Set<String> failedJobs() {
        return failedJobs;
    }
}
