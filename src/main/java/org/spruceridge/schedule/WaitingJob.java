package org.spruceridge.schedule;

import org.spruceridge.cluster.Job;

/** The waiting tasks of one job during a cycle: one row of the matrix. */
final class WaitingJob {
    private final Candidate candidate;
    private final boolean[] allowedKinds;
    private int remaining;
    private int nextIndex;
    private boolean visited;

    /** {@code allowedKinds} tells, by the cycle's kind index, which kinds of machines the job may use. */
    WaitingJob(Candidate candidate, boolean[] allowedKinds) {
        this.candidate = candidate;
        this.allowedKinds = allowedKinds;
        this.remaining = candidate.job().waiting();
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

    /** Tasks that are still to be placed. */
    int remaining() {
        return remaining;
    }

    /** The index of the next task to place, which counts as placed from here on. */
    int takeNext() {
        int index = job().nextWaiting(nextIndex);
        nextIndex = index + 1;
        remaining--;
        return index;
    }

    /** True the first time only: when the walk comes to the job's best entry. */
    boolean firstVisit() {
        boolean first = !visited;
        visited = true;
        return first;
    }
}
