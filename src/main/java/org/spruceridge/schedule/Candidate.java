package org.spruceridge.schedule;

import org.spruceridge.cluster.Job;

/**
 * One row of the matrix: a running task, or all waiting tasks of one job, which have the same scores.
 *
 * @param elapsedS what the task has run on its machine, 0 while waiting
 * @param ageS since the job was submitted
 * @param slackS until the job's deadline, infinite without one
 */
public record Candidate(Job job, double elapsedS, double ageS, double slackS) {
    /** The waiting tasks of a job, at a time of day in milliseconds. */
    static Candidate waiting(Job job, long wallMs) {
        return new Candidate(job, 0, (wallMs - job.submittedMs()) / 1000.0, (job.deadlineMs() - wallMs) / 1000.0);
    }
}
