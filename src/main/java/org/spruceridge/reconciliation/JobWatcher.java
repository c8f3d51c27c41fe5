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

/** Learns of accepted and cancelled jobs by watching the open entries, which exist for unfinished jobs only. */
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
     * {@code commandsDue} is called for each machine on which a task has to be stopped; {@code onJobsChanged} after jobs
     * were added or cancelled.
     */
    public JobWatcher(
            LeaderContext context,
            StateClient state,
            RecordWriter recordWriter,
            Consumer<Machine> commandsDue,
            Runnable onJobsChanged) {
        CancellationTimes times = CancellationTimes.of(context.settings().workers());
        this.loop = context.loop();
        this.scope = context.scope();
        this.state = state;
        this.cluster = context.cluster();
        this.recordWriter = recordWriter;
        this.warnings = context.warnings();
        this.view = new CancellationView(loop, Durations.nanos(times.maxStalenessS()));
        this.canceller = new JobCanceller(context, recordWriter, view, commandsDue, onJobsChanged);
        this.onJobsChanged = onJobsChanged;
        this.watchDurationS = times.watchTimeoutS();
    }

    /** Records that every cancellation confirmed before this moment is in the cluster state. */
    public void recordViewCompleteUpTo(long moment) {
        view.recordCompleteUpTo(moment);
    }

    /**
     * True while the view of cancellations is recent enough for heartbeats to be answered. A renewed leader lease does not
     * show that: it can be renewed while the watch is stuck, and after an outage it has its full time again.
     */
    public boolean isUpToDate() {
        return view.isUpToDate();
    }

    /** How long ago the view of cancellations was complete, in seconds; empty if it never was. */
    public OptionalDouble cancellationViewAgeS() {
        return view.ageS();
    }

    /** Follows all changes after a revision. A result is complete up to the moment of its request. */
    public void watchFrom(long revision) {
        long requestedAt = loop.nanos();
        watch = state.watch(
                StateKeys.OPEN_JOBS_PREFIX,
                revision,
                watchDurationS,
                scope.guard(result -> applyWatched(result, requestedAt)));
    }

    /** Ends the watch. */
    public void stop() {
        watch.cancel();
    }

    /** Marks a job as cancelled by its user: what is proposed is withdrawn, and what runs is stopped. */
    public void markCancelled(Job job, CancellationSource source) {
        canceller.cancel(job, source);
    }

    private void applyWatched(StateResult<Changes> result, long requestedAt) {
        if (result.isOk()) {
            Changes changes = result.value();
            changes.changes().forEach(this::apply);
            view.recordCompleteUpTo(requestedAt);
            if (!changes.changes().isEmpty()) {
                onJobsChanged.run();
            }
            watchFrom(changes.revision());
        } else if (result.outcome() == StateResult.Outcome.REVISION_COMPACTED) {
            relistOpenJobs();
        } else {
            // Not the same watch again: if only watches get no answer, a listing still tells.
            scope.after(RETRY_DELAY_NANOS, this::relistOpenJobs);
        }
    }

    private void apply(Change change) {
        String id = change.key().substring(StateKeys.OPEN_JOBS_PREFIX.length());
        if (change instanceof Change.Put put) {
            add(id, put.value(), put.modRevision());
        } else {
            openEntryRemoved(id, CancellationSource.WATCH);
        }
    }

    /** The open entry of a job goes with its cancellation, or with the record of its end by this leader. */
    private void openEntryRemoved(String id, CancellationSource source) {
        Job job = cluster.job(id);
        if (job != null && !recordWriter.isCompleting(job)) {
            canceller.cancel(job, source);
        }
    }

    private void add(String id, JsonNode value, long modRevision) {
        if (cluster.job(id) != null) {
            return;
        }
        try {
            JobRecord record = JobRecord.read(value);
            cluster.add(new Job(record.spec(), modRevision, record.submittedMs()));
        } catch (BadMessageException e) {
            warnings.warn("unreadable job record", "job=" + id + " reason=" + e.getMessage());
        }
    }

    private void relistOpenJobs() {
        long requestedAt = loop.nanos();
        state.list(
                StateKeys.OPEN_JOBS_PREFIX,
                Priority.HEARTBEATS,
                scope.guard(listing -> applyListed(listing, requestedAt)));
    }

    private void applyListed(StateResult<Listing> result, long requestedAt) {
        if (!result.isOk()) {
            scope.after(RETRY_DELAY_NANOS, this::relistOpenJobs);
            return;
        }
        Listing listing = result.value();
        Set<String> open = new HashSet<>();
        for (Entry entry : listing.entries()) {
            String id = entry.key().substring(StateKeys.OPEN_JOBS_PREFIX.length());
            open.add(id);
            add(id, entry.value(), entry.modRevision());
        }
        List.copyOf(cluster.jobs()).stream()
                .filter(job -> !open.contains(job.id()))
                .forEach(job -> openEntryRemoved(job.id(), CancellationSource.LISTING));
        view.recordCompleteUpTo(requestedAt);
        onJobsChanged.run();
        watchFrom(listing.revision());
    }
}
