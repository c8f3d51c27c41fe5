package org.spruceridge.reconciliation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
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
import org.spruceridge.state.Entry;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.term.LeaderContext;

/** Learns of accepted and cancelled jobs by watching the open entries of unfinished jobs. */
public final class JobWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(JobWatcher.class);
    private static final long RETRY_DELAY_NANOS = Durations.millis(250);

    private final Loop loop;
    private final CancellationScope scope;
    private final StateClient state;
    private final Cluster cluster;
    private final RecordWriter recordWriter;
    private final RateLimitedWarnings warnings;
    private final long term;
    private final Consumer<Machine> commandsDue;
    private final Runnable onJobsChanged;
    private final double watchDurationS;
    private final long maxViewAgeNanos;
    private Cancellable watch = () -> {};
    private long viewCompleteUpTo = Long.MIN_VALUE;

    /** {@code commandsDue} is told of machines on which something has to be stopped. */
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
        this.term = context.term().term();
        this.commandsDue = commandsDue;
        this.onJobsChanged = onJobsChanged;
        this.watchDurationS = times.watchTimeoutS();
        this.maxViewAgeNanos = Durations.nanos(times.maxStalenessS());
    }

    /** Every cancellation that was confirmed before this moment is in the cluster state. */
    public void recordViewCompleteUpTo(long moment) {
        viewCompleteUpTo = Math.max(viewCompleteUpTo, moment);
    }

    /**
     * True while what is known of cancellations is recent enough for workers to be answered. A renewed grant does not
     * tell: it may pass while the watch is stuck, and after an outage it has its full time again.
     */
    public boolean isUpToDate() {
        return viewCompleteUpTo != Long.MIN_VALUE && loop.nanos() - viewCompleteUpTo < maxViewAgeNanos;
    }

    /** Follows all changes after a revision. The answer tells of all that came before it was asked for. */
    public void watchFrom(long revision) {
        long requestedAt = loop.nanos();
        watch = state.watch(StateKeys.OPEN_JOBS_PREFIX, revision, watchDurationS, scope.guard(result -> {
            if (result.isOk()) {
                result.value().changes().forEach(this::apply);
                recordViewCompleteUpTo(requestedAt);
                if (!result.value().changes().isEmpty()) {
                    onJobsChanged.run();
                }
                watchFrom(result.value().revision());
            } else if (result.outcome() == StateResult.Outcome.REVISION_COMPACTED) {
                relistOpenJobs();
            } else {
                // Not the same watch again: should watches alone get no answer, a listing still tells.
                scope.after(RETRY_DELAY_NANOS, this::relistOpenJobs);
            }
        }));
    }

    /** Ends the watch. */
    public void stop() {
        watch.cancel();
    }

    /** Marks a job as cancelled by its user: what waits is withdrawn, what runs is stopped. */
    public void markCancelled(Job job, CancellationSource source) {
        if (!job.isCancelled()) {
            job.cancel(viewCompleteUpTo, loop.nanos());
            recordWriter.withdrawCancelled(job);
            List<Machine> machines =
                    job.bindings().stream().map(Binding::machine).distinct().toList();
            log(job, source, machines.size());
            machines.forEach(commandsDue);
            onJobsChanged.run();
        }
    }

    private void log(Job job, CancellationSource source, int machines) {
        if (machines > 0) {
            LOG.info(
                    "term {}: job {} is cancelled, by {}, since {} s at most; {} tasks on {} machines",
                    term,
                    job.id(),
                    source,
                    Durations.secondsSince(job.cancelledAt(), loop.nanos()),
                    job.bindings().size(),
                    machines);
        } else {
            LOG.debug("term {}: job {} is cancelled, by {}; no task is bound", term, job.id(), source);
        }
    }

    /** How long ago the view of cancellations was complete, in seconds; infinite if it never was. */
    public double cancellationViewAgeS() {
        return viewCompleteUpTo == Long.MIN_VALUE
                ? Double.POSITIVE_INFINITY
                : Durations.secondsSince(viewCompleteUpTo, loop.nanos());
    }

    private void apply(Change change) {
        String id = change.key().substring(StateKeys.OPEN_JOBS_PREFIX.length());
        if (change instanceof Change.Put put) {
            add(id, put.value(), put.modRevision());
        } else {
            openEntryRemoved(id, CancellationSource.WATCH);
        }
    }

    private void openEntryRemoved(String id, CancellationSource source) {
        Job job = cluster.job(id);
        if (job != null && !recordWriter.isCompleting(job)) {
            markCancelled(job, source);
        }
    }

    private void add(String id, JsonNode value, long modRevision) {
        if (cluster.job(id) != null) {
            return;
        }
        try {
            JobRecord record = JobRecord.read(value);
            cluster.add(new Job(record.spec(), modRevision, record.submittedMs()));
        } catch (BadMessageException entry) {
            warnings.warn("unreadable job record", id + ": " + entry.getMessage());
        }
    }

    private void relistOpenJobs() {
        long requestedAt = loop.nanos();
        state.list(StateKeys.OPEN_JOBS_PREFIX, Priority.HEARTBEATS, scope.guard(listing -> {
            if (!listing.isOk()) {
                scope.after(RETRY_DELAY_NANOS, this::relistOpenJobs);
                return;
            }
            Set<String> open = new HashSet<>();
            for (Entry entry : listing.value().entries()) {
                String id = entry.key().substring(StateKeys.OPEN_JOBS_PREFIX.length());
                open.add(id);
                add(id, entry.value(), entry.modRevision());
            }
            List.copyOf(cluster.jobs()).stream()
                    .filter(job -> !open.contains(job.id()))
                    .forEach(job -> openEntryRemoved(job.id(), CancellationSource.LISTING));
            recordViewCompleteUpTo(requestedAt);
            onJobsChanged.run();
            watchFrom(listing.value().revision());
        }));
    }
}
