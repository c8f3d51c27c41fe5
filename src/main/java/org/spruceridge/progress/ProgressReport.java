package org.spruceridge.progress;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/**
 * What the leader knows about the progress of all open jobs at one time.
 *
 * @param composedAtNanos when the leader composed the report, on its monotonic clock, see {@link LeaderClock}
 * @param complete whether a job that is neither in {@code progress} nor in {@code unknownJobs} has no progress; if not,
 *     the leader does not know the progress of such a job, or left it out for lack of space
 * @param progress the progress of jobs with a done or running task, by job id
 * @param unknownJobs the ids of jobs with tasks that might be running, but whose machines have not sent the leader a
 *     status yet
 */
public record ProgressReport(
        long composedAtNanos,
        boolean complete,
        ImmutableMap<String, Progress> progress,
        ImmutableSet<String> unknownJobs) {
    /** Returns the report of a node that knows the progress of no job. */
    public static ProgressReport empty(long nowNanos) {
        return new ProgressReport(nowNanos, false, ImmutableMap.of(), ImmutableSet.of());
    }

    /** The progress of a job according to this report; empty if the report does not tell it. */
    public Optional<Progress> of(String jobId) {
        Progress known = progress.get(jobId);
        if (known != null) {
            return Optional.of(known);
        }
        return complete && !unknownJobs.contains(jobId) ? Optional.of(Progress.NONE) : Optional.empty();
    }
}
