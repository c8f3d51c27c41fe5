package org.spruceridge.leader;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.PauseDetector;
import org.spruceridge.progress.Progress;
import org.spruceridge.progress.ProgressReport;
import org.spruceridge.term.LeaderContext;

/**
 * The progress of open jobs, as far as the heartbeats that this leader has received tell it. A task on a machine that has
 * sent no status in this term, or none since a pause of this node, might be running or not. If no other task of its job
 * is known to run, the progress of the job is unknown. All times are nanoseconds on the monotonic clock.
 */
final class ObservedProgress {
    /** A worker sends heartbeats at intervals that vary by up to a quarter. */
    private static final double MAX_HEARTBEAT_INTERVALS = 1.25;
    /** The additional time until a heartbeat is handled. */
    private static final long HEARTBEAT_DELAY_NANOS = Durations.nanos(1);

    private final Loop loop;
    private final Cluster cluster;
    private final PauseDetector pauseDetector;
    private final long maxSilenceNanos;
    private boolean failoverComplete;
    private long failoverCompletedAt;

    /** What the leader knows about a bound task. */
    private enum TaskState {
        RUNNING,
        NOT_RUNNING,
        /** The machine has sent no status since this leader listens, but should send one soon. */
        AWAITED,
        /** The task ran according to the last status. The machine counts as unreachable by now. */
        RUNNING_UNREACHABLE,
        /** The task was possibly started after the last status. The machine counts as unreachable by now. */
        STARTED_UNREACHABLE
    }

    ObservedProgress(LeaderContext context) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.pauseDetector = new PauseDetector(context.loop(), context.scope());
        this.maxSilenceNanos =
                Durations.nanos(context.settings().workers().heartbeatIntervalS() * MAX_HEARTBEAT_INTERVALS)
                        + HEARTBEAT_DELAY_NANOS;
    }

    /** Called when all jobs and bindings are loaded. Before that, the progress of every job is unknown. */
    void failoverCompleted() {
        failoverComplete = true;
        failoverCompletedAt = loop.nanos();
        pauseDetector.start();
    }

    /** Returns the progress of an open job; empty if it is unknown. A job that this leader does not know has none. */
    Optional<Progress> of(String jobId) {
        if (!failoverComplete) {
            return Optional.empty();
        }
        Job job = cluster.job(jobId);
        return job == null ? Optional.of(Progress.NONE) : progress(job, listeningSince(), loop.nanos());
    }

    /** Returns the progress of all open jobs. */
    ProgressReport report() {
        if (!failoverComplete) {
            return ProgressReport.empty(loop.nanos());
        }
        ImmutableMap.Builder<String, Progress> known = ImmutableMap.builder();
        ImmutableSet.Builder<String> unknown = ImmutableSet.builder();
        long listeningSince = listeningSince();
        long now = loop.nanos();
        for (Job job : cluster.jobs()) {
            if (job.isCancelled()) {
                continue;
            }
            Optional<Progress> progress = progress(job, listeningSince, now);
            if (progress.isEmpty()) {
                unknown.add(job.id());
            } else if (!progress.get().equals(Progress.NONE)) {
                known.put(job.id(), progress.get());
            }
        }
        return new ProgressReport(now, true, known.buildOrThrow(), unknown.build());
    }

    private long listeningSince() {
        return Math.max(failoverCompletedAt, pauseDetector.attentiveSince());
    }

    private Optional<Progress> progress(Job job, long listeningSince, long now) {
        boolean isRunning = false;
        boolean isUnknown = false;
        boolean isAwaited = false;
        for (Binding binding : job.bindings()) {
            switch (taskState(binding, listeningSince, now)) {
                case RUNNING -> {
                    return Optional.of(new Progress(job.doneCount(), job.runningCount()));
                }
                case RUNNING_UNREACHABLE -> isRunning = true;
                case STARTED_UNREACHABLE -> isUnknown = true;
                case AWAITED -> isAwaited = true;
                case NOT_RUNNING -> {}
                default -> throw new IllegalStateException("no such state");
            }
        }
        return isAwaited || (isUnknown && !isRunning)
                ? Optional.empty()
                : Optional.of(new Progress(job.doneCount(), job.runningCount()));
    }

    private TaskState taskState(Binding binding, long listeningSince, long now) {
        boolean isRunning = binding.phase() == Binding.Phase.RUNNING || binding.phase() == Binding.Phase.CHECKPOINTING;
        if (!isRunning && !mightRun(binding)) {
            return TaskState.NOT_RUNNING;
        }
        Machine machine = binding.machine();
        if (machine.hasSentStatusSince(Math.max(listeningSince, now - maxSilenceNanos))) {
            return isRunning ? TaskState.RUNNING : TaskState.NOT_RUNNING;
        }
        if (now - listeningSince <= maxSilenceNanos) {
            return TaskState.AWAITED;
        }
        return isRunning ? TaskState.RUNNING_UNREACHABLE : TaskState.STARTED_UNREACHABLE;
    }

    /** True if a task that was not reported as running can have started since. */
    private static boolean mightRun(Binding binding) {
        return binding.stage() != Binding.Stage.PROPOSED
                && binding.phase() != Binding.Phase.ENDED
                && !binding.isProvenGone();
    }
}
