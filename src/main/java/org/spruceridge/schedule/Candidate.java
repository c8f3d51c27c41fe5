package org.spruceridge.schedule;

import org.spruceridge.cluster.Job;
import org.spruceridge.net.Durations;

/**
 * One row of the matrix: a running task, or all waiting tasks of one job, which have the same scores.
 *
 * @param elapsedS what the task has run on its machine, 0 while waiting
 * @param ageS since the job was submitted; of a service that had all its replicas, since one of them has been missing
 * @param slackS until the job's deadline, infinite without one
 */
public record Candidate(Job job, double elapsedS, double ageS, double slackS) {
    /** The waiting tasks of a job, at a moment of the monotonic clock and a time of day in milliseconds. */
    static Candidate waiting(Job job, long now, long wallMs) {
        boolean missing = job.spec().isService() && job.isIncompleteAgain();
        double ageS =
                missing ? Durations.secondsSince(job.incompleteSince(), now) : (wallMs - job.submittedMs()) / 1000.0;
        return new Candidate(job, 0, ageS, (job.deadlineMs() - wallMs) / 1000.0);
    }
}
