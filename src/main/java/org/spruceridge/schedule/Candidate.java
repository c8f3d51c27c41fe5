package org.spruceridge.schedule;

import org.spruceridge.cluster.Job;
import org.spruceridge.net.Durations;

/**
 * One row of the matrix: a running task, or all waiting tasks of one job, which have the same scores.
 *
 * @param elapsedS the time for which the task has run on its machine, in seconds; 0 for a waiting task
 * @param ageS the time since the job was submitted, in seconds; for a service that lost a replica after all its
 *     replicas had been placed, the time since that loss
 * @param slackS the time until the job's deadline, in seconds; infinite if the job has no deadline
 */
public record Candidate(Job job, double elapsedS, double ageS, double slackS) {
    /**
     * Creates the candidate for the waiting tasks of a job. {@code now} is on the monotonic clock, in nanoseconds;
     * {@code wallMs} is the time of day, in milliseconds.
     */
    static Candidate waiting(Job job, long now, long wallMs) {
        boolean isReplicaMissing = job.spec().isService() && job.isIncompleteAgain();
        double ageS = isReplicaMissing
                ? Durations.secondsSince(job.incompleteSince(), now)
                : (wallMs - job.submittedMs()) / 1000.0;
        return new Candidate(job, 0, ageS, (job.deadlineMs() - wallMs) / 1000.0);
    }
}
