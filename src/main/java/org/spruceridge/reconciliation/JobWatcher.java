package org.spruceridge.reconciliation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.config.CancellationTimes;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Cancellable;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Change;
import org.spruceridge.state.Changes;
import org.spruceridge.state.Entry;
import org.spruceridge.state.Listing;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.term.LeaderContext;

/**
 * Detects accepted and cancelled jobs by watching the open entries in the state service. Only unfinished jobs have an
 * open entry.
 */
public final class JobWatcher {
    private static final long RETRY_DELAY_NANOS = Durations.millis(250);

    private final Loop loop;
    private final CancellationScope scope;
    private final StateClient state;
    private final Cluster cluster;
    private final RecordWriter recordWriter;
    private final RateLimitedWarnings warnings;
    private final CancellationView view;
    private final JobCanceller canceller;
    private final Runnable onJobsChanged;
    private final double watchDurationS;
    private Cancellable watch = () -> {};

    /**
     * {@code onJobCancelled} is called for each cancelled job, and {@code onCommandsDue} for each machine on which a task
     * of the job has to be stopped. {@code onJobsChanged} is called after jobs were added or cancelled.
     */
    public JobWatcher(
            LeaderContext context,
            StateClient state,
            RecordWriter recordWriter,
            Consumer<Job> onJobCancelled,
            Consumer<Machine> onCommandsDue,
            Runnable onJobsChanged) {
        CancellationTimes times = CancellationTimes.of(context.settings().workers());
        this.loop = context.loop();
        this.scope = context.scope();
        this.state = state;
        this.cluster = context.cluster();
        this.recordWriter = recordWriter;
        this.warnings = context.warnings();
        this.view = new CancellationView(loop, Durations.nanos(times.maxStalenessS()));
        this.canceller = new JobCanceller(context, recordWriter, view, onJobCancelled, onCommandsDue, onJobsChanged);
        this.onJobsChanged = onJobsChanged;
        this.watchDurationS = times.watchTimeoutS();
    }

    /**
     * Records that the cluster state includes every cancellation confirmed before this time. The time is on the
     * monotonic clock, in nanoseconds.
     */
    public void recordViewCompleteUpTo(long timeNanos) {
        view.recordCompleteUpTo(timeNanos);
    }

    /**
     * Returns whether the leader's view of cancelled jobs is recent enough to respond to heartbeats. A valid leader
     * lease does not imply a recent view. The lease can be renewed while the watch is stuck, and the lease has its full
     * duration again after an outage.
     */
    public boolean isUpToDate() {
        return view.isUpToDate();
    }

    /**
     * Returns the age of the leader's view of cancelled jobs, in seconds. The age is the time since the view was last
     * known to include every confirmed cancellation. Returns empty until the open entries have been loaded for the
     * first time.
     */
    public OptionalDouble secondsSinceAllCancellationsKnown() {
        return view.ageS();
    }

    /**
     * Watches all changes of open entries after a revision. Each result contains all changes up to the time of its
     * request.
     */
    public void watchFrom(long revision) {
        long requestedAt = loop.nanos();
        watch = state.watch(
                StateKeys.OPEN_JOBS_PREFIX,
                revision,
                watchDurationS,
                scope.guard(result -> handleWatchResult(result, requestedAt)));
    }

    /** Ends the watch. */
    public void stop() {
        watch.cancel();
    }

    /** Marks a job as cancelled by its user, withdraws its proposed bindings, and has its running tasks stopped. */
    public void markCancelled(Job job, CancellationSource source) {
        canceller.cancel(job, source);
    }

    private void handleWatchResult(StateResult<Changes> result, long requestedAt) {
        if (result.isOk()) {
            Changes changes = result.value();
            changes.changes().forEach(this::applyChange);
            view.recordCompleteUpTo(requestedAt);
            if (!changes.changes().isEmpty()) {
                onJobsChanged.run();
            }
            watchFrom(changes.revision());
        } else if (result.outcome() == StateResult.Outcome.REVISION_COMPACTED) {
            relistOpenJobs();
        } else {
            // The watch is not retried directly, because a listing still succeeds if only watches get no response.
            scope.after(RETRY_DELAY_NANOS, this::relistOpenJobs);
        }
    }

    private void applyChange(Change change) {
        String jobId = change.key().substring(StateKeys.OPEN_JOBS_PREFIX.length());
        if (change instanceof Change.Put put) {
            addJob(jobId, put.value(), put.modRevision());
        } else {
            handleRemovedEntry(jobId, CancellationSource.WATCH);
        }
    }

    /** Cancels the job of a removed open entry, unless this leader removed the entry to record the job's completion. */
    private void handleRemovedEntry(String jobId, CancellationSource source) {
        Job job = cluster.job(jobId);
        if (job != null && !recordWriter.isCompleting(job)) {
            canceller.cancel(job, source);
        }
    }

    private void addJob(String jobId, JsonNode value, long modRevision) {
        if (cluster.job(jobId) != null) {
            return;
        }
        try {
            JobRecord record = JobRecord.read(value);
            cluster.add(new Job(record.spec(), modRevision, record.submittedMs()));
        } catch (BadMessageException e) {
            warnings.warn("unreadable job record", "job=" + jobId + " reason=" + e.getMessage());
        }
    }

    private void relistOpenJobs() {
        long requestedAt = loop.nanos();
        state.list(
                StateKeys.OPEN_JOBS_PREFIX,
                Priority.HEARTBEATS,
                scope.guard(listing -> handleListing(listing, requestedAt)));
    }

    private void handleListing(StateResult<Listing> result, long requestedAt) {
        if (!result.isOk()) {
            scope.after(RETRY_DELAY_NANOS, this::relistOpenJobs);
            return;
        }
        Listing listing = result.value();
        Set<String> openIds = new HashSet<>();
        for (Entry entry : listing.entries()) {
            String jobId = entry.key().substring(StateKeys.OPEN_JOBS_PREFIX.length());
            openIds.add(jobId);
            addJob(jobId, entry.value(), entry.modRevision());
        }
        List.copyOf(cluster.jobs()).stream()
                .filter(job -> !openIds.contains(job.id()))
                .forEach(job -> handleRemovedEntry(job.id(), CancellationSource.LISTING));
        view.recordCompleteUpTo(requestedAt);
        onJobsChanged.run();
        watchFrom(listing.revision());
    }
}
