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
 * Records bindings, releases and completions. Batches the writes into transactions. Only one transaction is in flight
 * at a time. When the rate limiter admits a transaction, the writer composes it from the writes that are then pending.
 * A transaction compares the leader key and the mod revision of every key that it changes. A transaction with an
 * unknown outcome is retried unchanged until the outcome is known. Until then, the writer allows for both possible
 * outcomes.
 */
public final class RecordWriter implements BindingReleaser {
    /** Receives the outcomes of writes on the event loop. */
    public interface Listener {
        /** Called after a commit, with the machines to which the transaction bound tasks. */
        void onCommitted(ImmutableSet<Machine> boundMachines);

        /** Called when a conflict shows that {@code job} was cancelled. */
        void onJobCancelled(Job job);

        /**
         * Called when this leader must step down. The cause is that a record differs from what this leader last wrote,
         * that another node leads, or that the state service rejected the transaction.
         */
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
    private final BatchSender batchSender;
    private final PendingWrites pending = new PendingWrites();
    /** The last batch sent, while its outcome is unknown; otherwise empty. */
    private Optional<WriteBatch> inFlight = Optional.empty();

    private boolean awaitingAdmission;
    private boolean levelRaised;
    private boolean lastBatchWasSplit;
    private long batchCount;

    /** Creates a writer that keeps within the limits in the settings; {@code listener} receives the outcomes. */
    public RecordWriter(LeaderContext context, StateClient state, Listener listener) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.state = state;
        this.cluster = context.cluster();
        this.term = context.term();
        this.listener = listener;
        this.latencies = context.latencies();
        this.batchSender = new BatchSender(state, scope, new BatchListener());
        this.records = new RecordPages(
                context.settings().state(), context.term().featureLevel().level());
    }

    /** The pages that hold the records. */
    public RecordPages records() {
        return records;
    }

    /**
     * Called when the failover is complete. Starts to split oversized pages of an earlier version, one per transaction.
     */
    public void failoverCompleted() {
        records.markOversizedPages();
        submitNext();
    }

    /**
     * Called when the cluster feature level has been raised to that of this version. Later records can use the formats
     * of that level.
     */
    public void levelRaised() {
        levelRaised = true;
        submitNext();
    }

    /** Records a proposed binding, which must already be part of the cluster state. */
    public void recordBinding(Binding binding) {
        pending.addBind(binding);
        submitNext();
    }

    /**
     * Removes the record of a binding whose task is proven not to be on its machine. If {@code completed}, also records
     * the task as done, unless the task is a replica of a service. A replica is never done.
     */
    @Override
    public void release(Binding binding, boolean completed) {
        boolean recordsCompletion = completed && !binding.job().spec().isService();
        if (binding.stage() == Binding.Stage.RELEASING && !recordsCompletion) {
            return;
        }
        if (pending.removeBind(binding)) {
            cluster.unbind(binding, loop.nanos()); // the binding was never recorded
            removeIfCancelled(binding.job());
            return;
        }
        binding.advanceTo(Binding.Stage.RELEASING);
        cluster.releaseCapacity(binding);
        pending.addRelease(binding, recordsCompletion ? WriteKind.COMPLETE : WriteKind.RELEASE);
        submitNext();
    }

    /**
     * Removes the pending bindings of a cancelled job, except bindings in flight. Also removes the finished tasks of
     * the job.
     */
    public void discardCancelledJob(Job job) {
        for (Binding binding : ImmutableList.copyOf(job.bindings())) {
            if (pending.removeBind(binding)) {
                cluster.unbind(binding, loop.nanos());
            }
        }
        records.removeFinishedTasks(job);
        removeIfCancelled(job);
    }

    /**
     * True if the transaction in flight records this job as done and deletes its open entry. That deletion does not
     * mean that the job was cancelled.
     */
    public boolean isCompleting(Job job) {
        return inFlight.isPresent() && inFlight.get().completes(job);
    }

    /** The number of pending writes, plus one if a transaction is in flight. */
    public int backlog() {
        return pending.size() + (inFlight.isPresent() ? 1 : 0);
    }

    private void submitNext() {
        if (inFlight.isPresent() || awaitingAdmission || (pending.isEmpty() && !records.hasOversizedPages())) {
            return;
        }
        awaitingAdmission = true;
        Priority priority = pending.hasOnlyBinds() ? Priority.SCHEDULING : Priority.HEARTBEATS;
        state.commitWhenAdmitted(
                priority,
                records.estimatedChangeCount(),
                () -> {
                    awaitingAdmission = false;
                    inFlight = scope.isClosed() ? Optional.empty() : composeBatch();
                    return inFlight.map(WriteBatch::transaction);
                },
                scope.guard(result -> {
                    if (inFlight.isEmpty()) { // the rate limiter did not admit a transaction
                        scope.after(BatchSender.INITIAL_RETRY_DELAY_NANOS, () -> {
                            awaitingAdmission = false;
                            submitNext();
                        });
                    } else {
                        batchSender.onFirstResult(inFlight.get(), result);
                    }
                }));
    }

    private Optional<WriteBatch> composeBatch() {
        if (levelRaised) {
            levelRaised = false;
            records.raiseLevel(FeatureLevel.SUPPORTED);
        }
        WriteBatch batch = new WriteBatch(records, term, "w" + term.term() + "." + (++batchCount));
        // Transactions that split a page alternate with transactions of pending writes. After the limits were lowered,
        // pending writes cannot go to an oversized page.
        lastBatchWasSplit = (!lastBatchWasSplit || pending.isEmpty()) && batch.splitOversizedPage();
        if (lastBatchWasSplit) {
            return Optional.of(batch);
        }
        pending.moveInto(batch);
        return batch.isEmpty() ? Optional.empty() : Optional.of(batch);
    }

    private void applyCommitted(WriteBatch batch, long revision) {
        inFlight = Optional.empty();
        long nowNanos = loop.nanos();
        batch.markCommitted(revision);
        ImmutableSet.Builder<Machine> boundMachines = ImmutableSet.builder();
        for (Binding boundBinding : batch.bound()) {
            if (boundBinding.stage() == Binding.Stage.PROPOSED) {
                boundBinding.advanceTo(Binding.Stage.COMMITTED);
                latencies.record(Latencies.Kind.COMMITS, nowNanos - boundBinding.createdAt());
                boundMachines.add(boundBinding.machine());
            }
        }
        batch.released().forEach((binding, kind) -> {
            if (kind == WriteKind.COMPLETE) {
                binding.job().markDone(binding.task().index());
            }
            cluster.unbind(binding, nowNanos);
            removeIfCancelled(binding.job());
        });
        for (Job job : batch.completedJobs()) {
            records.removeFinishedTasks(job);
            cluster.removeIfEnded(job, true);
        }
        records.removeIdleMachines(batch.released().keySet());
        submitNext();
        listener.onCommitted(boundMachines.build());
    }

    /**
     * Handles a failed comparison. The transaction wrote nothing. Ends the term unless cancelled jobs explain the
     * conflict.
     */
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

    /** The job whose record or open entry has this key; empty if the cluster state contains no such job. */
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
        Map<Binding, WriteKind> retriedWrites = new LinkedHashMap<>(batch.released());
        for (Binding binding : batch.bound()) {
            // If the job was cancelled in the meantime, its pending bindings were removed, but this binding was in
            // flight and was not removed. Requeuing it would make the retry and every later transaction fail, and no
            // task would ever be bound again.
            if (binding.stage() == Binding.Stage.PROPOSED && !binding.job().isCancelled()) {
                retriedWrites.put(binding, WriteKind.BIND);
            } else {
                pending.remove(binding); // released or cancelled in the meantime, and never recorded
                cluster.unbind(binding, loop.nanos());
                removeIfCancelled(binding.job());
            }
        }
        pending.addFirst(retriedWrites);
    }

    /** Removes a cancelled job from the cluster state if it has no bindings left. */
    private void removeIfCancelled(Job job) {
        cluster.removeIfEnded(job, job.isCancelled());
    }
}
