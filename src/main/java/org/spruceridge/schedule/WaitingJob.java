package org.spruceridge.schedule;

import org.spruceridge.cluster.Job;

/** The waiting tasks of one job during a cycle, which form one row of the matrix. */
final class WaitingJob {
    private final Candidate candidate;
    private final boolean[] allowedKinds;
    private int unplacedTaskCount;
    private int nextTaskIndex;
    private boolean isVisited;

    /**
     * {@code allowedKinds} holds, for each kind index of the cycle, whether the job is permitted on machines of that
     * kind.
     */
    WaitingJob(Candidate candidate, boolean[] allowedKinds) {
        this.candidate = candidate;
        this.allowedKinds = allowedKinds;
        this.unplacedTaskCount = candidate.job().waitingCount();
    }

    Candidate candidate() {
        return candidate;
    }

    Job job() {
        return candidate.job();
    }

    boolean allows(int kindIndex) {
        return allowedKinds[kindIndex];
    }

    /** The number of waiting tasks that this cycle has not placed yet. */
    int unplacedTaskCount() {
        return unplacedTaskCount;
    }

    /** Returns the index of the next task to place, and counts this task as placed. */
    int takeNextTaskIndex() {
        int index = job().nextWaiting(nextTaskIndex);
        nextTaskIndex = index + 1;
        unplacedTaskCount--;
        return index;
    }

    /** Marks the job as visited. Returns true on the first visit, which is at the job's best entry. */
    boolean markVisited() {
        boolean isFirstVisit = !isVisited;
        isVisited = true;
        return isFirstVisit;
    }
}
