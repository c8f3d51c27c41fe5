package org.spruceridge.schedule;

import org.spruceridge.cluster.Job;
import org.spruceridge.net.Durations;

/**
 * One row of the matrix: a running task, or all waiting tasks of one job, which have the same scores.
 *
 * @param elapsedS the run time of the task on its machine, in seconds; 0 while it waits
 * @param ageS seconds since the job was submitted; for a service that was complete before, seconds since it has lacked
 *     a replica
 * @param slackS seconds until the job's deadline; infinite if it has none
 */
public record Candidate(Job job, double elapsedS, double ageS, double slackS) {
    /**
     * The waiting tasks of a job; {@code now} is on the monotonic clock in nanoseconds, {@code wallMs} the time of day.
     */
    static Candidate waiting(Job job, long now, long wallMs) {
        boolean isReplicaMissing = job.spec().isService() && job.isIncompleteAgain();
        double ageS = isReplicaMissing
                ? Durations.secondsSince(job.incompleteSince(), now)
                : (wallMs - job.submittedMs()) / 1000.0;
        return new Candidate(job, 0, ageS, (job.deadlineMs() - wallMs) / 1000.0);
    }
}
