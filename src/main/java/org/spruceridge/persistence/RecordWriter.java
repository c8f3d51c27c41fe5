package org.spruceridge.persistence;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.BindingReleaser;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.FeatureLevel;

/**
 * Records bindings, releases and completions. Writes are batched into transactions, one in flight at a time: each is
 * composed when the rate limiter admits it, and carries everything pending by then. It compares the leader key and the mod
 * revision of every key that it changes. A transaction with an unknown outcome is retried unchanged until the outcome is
 * known; until then both outcomes are taken into account.
 */
public final class RecordWriter implements BindingReleaser {
    /** Receives the outcome of writes, on the event loop. */
    public interface Listener {
        /** A transaction was committed; tasks are now bound to these machines. */
        void onCommitted(ImmutableSet<Machine> bound);

        /** A conflict showed that the job was cancelled. */
        void onJobCancelled(Job job);

        /** The records are not as this leader left them, or another node leads: this one has to step down. */
        void onWriteFailed(String reason);
    }

    private final class BatchListener implements BatchSender.Listener {
        @Override
        public void onBatchCommitted(WriteBatch batch, long revision) {
            applyCommitted(batch, revision);
        }

        @Override
        public void onBatchConflict(WriteBatch batch, ImmutableList<String> conflictingKeys) {
            handleConflict(batch, conflictingKeys);
        }

        @Override
        public void onBatchRejected() {
            listener.onWriteFailed("transaction-rejected");
        }
    }

    private final Loop loop;
    private final CancellationScope scope;
    private final StateClient state;
    private final Cluster cluster;
    private final LeaderTerm term;
    private final Listener listener;
    private final Latencies latencies;
    private final RecordPages records;
    private final BatchSender sender;
    private final PendingWrites pending = new PendingWrites();
    /** The transaction that was sent last and whose outcome is open; empty if there is none. */
    private Optional<WriteBatch> inFlight = Optional.empty();

    private boolean awaitingAdmission;
    private boolean levelRaised;
    private boolean lastBatchWasSplit;
    private long batchCount;

    /** Writes within the limits of the settings; the listener receives the outcomes. */
    public RecordWriter(LeaderContext context, StateClient state, Listener listener) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.state = state;
        this.cluster = context.cluster();
        this.term = context.term();
        this.listener = listener;
        this.latencies = context.latencies();
        this.sender = new BatchSender(state, scope, new BatchListener());
        this.records = new RecordPages(
                context.settings().state(), context.term().featureLevel().level());
    }

    /** The pages on which the records are kept. */
    public RecordPages records() {
        return records;
    }

    /** The failover is complete: pages that an earlier version left too large are split, one transaction at a time. */
    public void failoverCompleted() {
        records.findOversized();
        submitNext();
    }

    /** The cluster feature level is that of this version: records may have its forms from now on. */
    public void levelRaised() {
        levelRaised = true;
        submitNext();
    }

    /** Puts a proposed binding, already part of the cluster state, on record. */
    public void bind(Binding binding) {
        pending.addBind(binding);
        submitNext();
    }

    /**
     * Takes a binding off the record, on proof that its task is gone; {@code done} also records its task as done, unless it
     * is a replica of a service, which never is.
     */
    @Override
    public void release(Binding binding, boolean completed) {
        boolean done = completed && !binding.job().spec().isService();
        if (binding.stage() == Binding.Stage.RELEASING && !done) {
            return;
        }
        if (pending.removeBind(binding)) {
            cluster.unbind(binding, loop.nanos()); // never on record
            removeIfCancelled(binding.job());
            return;
        }
        binding.advanceTo(Binding.Stage.RELEASING);
        cluster.releaseCapacity(binding);
        pending.addRelease(binding, done ? WriteKind.COMPLETE : WriteKind.RELEASE);
        submitNext();
    }

    /** Withdraws the pending bindings of a cancelled job, unless they are in flight, and forgets its finished tasks. */
    public void withdrawCancelled(Job job) {
        for (Binding b : ImmutableList.copyOf(job.bindings())) {
            if (pending.removeBind(b)) {
                cluster.unbind(b, loop.nanos());
            }
        }
        records.removeFinishedTasks(job);
        removeIfCancelled(job);
    }

    /** True if the transaction in flight completes this job, so that its open entry is removed by this leader. */
    public boolean isCompleting(Job job) {
        return inFlight.isPresent() && inFlight.get().completes(job);
    }

    /** How many writes are pending, and whether a transaction is in flight. */
    public int backlog() {
        return pending.size() + (inFlight.isPresent() ? 1 : 0);
    }

    private void submitNext() {
        if (inFlight.isPresent() || awaitingAdmission || (pending.isEmpty() && !records.hasOversized())) {
            return;
        }
        awaitingAdmission = true;
        Priority priority = pending.hasOnlyBinds() ? Priority.SCHEDULING : Priority.HEARTBEATS;
        state.commitWhenAdmitted(
                priority,
                records.estimatedChanges(),
                () -> {
                    awaitingAdmission = false;
                    inFlight = scope.isClosed() ? Optional.empty() : compose();
                    return inFlight.map(WriteBatch::transaction);
                },
                scope.guard(result -> {
                    if (inFlight.isEmpty()) { // the rate limiter did not admit it
                        scope.after(BatchSender.INITIAL_RETRY_DELAY_NANOS, () -> {
                            awaitingAdmission = false;
                            submitNext();
                        });
                    } else {
                        sender.onFirstResult(inFlight.get(), result);
                    }
                }));
    }

    private Optional<WriteBatch> compose() {
        if (levelRaised) {
            levelRaised = false;
            records.raiseLevel(FeatureLevel.SUPPORTED);
        }
        WriteBatch batch = new WriteBatch(records, term, "w" + term.term() + "." + (++batchCount));
        // Alternates with pending writes, which cannot go to an oversized page once the limits have fallen.
        lastBatchWasSplit = (!lastBatchWasSplit || pending.isEmpty()) && batch.splitOversized();
        if (lastBatchWasSplit) {
            return Optional.of(batch);
        }
        pending.moveInto(batch);
        return batch.isEmpty() ? Optional.empty() : Optional.of(batch);
    }

    private void applyCommitted(WriteBatch batch, long revision) {
        inFlight = Optional.empty();
        long now = loop.nanos();
        batch.markCommitted(revision);
        ImmutableSet.Builder<Machine> bound = ImmutableSet.builder();
        for (Binding b : batch.bound()) {
            if (b.stage() == Binding.Stage.PROPOSED) {
                b.advanceTo(Binding.Stage.COMMITTED);
                latencies.record(Latencies.Kind.COMMITS, now - b.boundAt());
                bound.add(b.machine());
            }
        }
        batch.released().forEach((binding, kind) -> {
            if (kind == WriteKind.COMPLETE) {
                binding.job().markDone(binding.task().index());
            }
            cluster.unbind(binding, now);
            removeIfCancelled(binding.job());
        });
        for (Job job : batch.completedJobs()) {
            records.removeFinishedTasks(job);
            cluster.removeIfEnded(job, true);
        }
        records.removeIdleMachines(batch.released().keySet());
        submitNext();
        listener.onCommitted(bound.build());
    }

    /** A comparison failed: nothing was written. That is ordinary if jobs were cancelled, and else ends the term. */
    private void handleConflict(WriteBatch batch, ImmutableList<String> conflictingKeys) {
        if (conflictingKeys.contains(StateKeys.LEADER)) {
            listener.onWriteFailed("leader-key-changed");
            return;
        }
        List<Job> cancelledJobs = new ArrayList<>();
        for (String key : conflictingKeys) {
            Optional<Job> job = jobOf(key);
            if (job.isEmpty()) {
                listener.onWriteFailed("unexpected-mod-revision path=" + key);
                return;
            }
            cancelledJobs.add(job.get());
        }
        inFlight = Optional.empty();
        batch.rollBack();
        requeue(batch);
        cancelledJobs.forEach(listener::onJobCancelled);
        submitNext();
    }

    /** The job whose record or open entry has this key, if it is one of the cluster state. */
    private Optional<Job> jobOf(String key) {
        if (key.startsWith(StateKeys.OPEN_JOBS_PREFIX)) {
            return Optional.ofNullable(cluster.job(key.substring(StateKeys.OPEN_JOBS_PREFIX.length())));
        }
        if (key.startsWith(StateKeys.JOBS_PREFIX)) {
            return Optional.ofNullable(cluster.job(key.substring(StateKeys.JOBS_PREFIX.length())));
        }
        return Optional.empty();
    }

    private void requeue(WriteBatch batch) {
        Map<Binding, WriteKind> retried = new LinkedHashMap<>(batch.released());
        for (Binding binding : batch.bound()) {
            // When a job was cancelled meanwhile, its pending bindings were removed, but not this one, which was in
            // flight. Put back, it would make this and every later transaction fail: nothing would ever be bound again.
            if (binding.stage() == Binding.Stage.PROPOSED && !binding.job().isCancelled()) {
                retried.put(binding, WriteKind.BIND);
            } else {
                pending.remove(binding); // released or cancelled meanwhile, and never on record
                cluster.unbind(binding, loop.nanos());
                removeIfCancelled(binding.job());
            }
        }
        pending.addFirst(retried);
    }

    /** A cancelled job leaves the cluster state with its last binding. */
    private void removeIfCancelled(Job job) {
        cluster.removeIfEnded(job, job.isCancelled());
    }
}
