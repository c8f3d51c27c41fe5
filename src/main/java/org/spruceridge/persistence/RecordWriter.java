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
import org.spruceridge.net.Durations;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.TransactionResult;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.FeatureLevel;

/**
 * The leader's writes. Bindings, releases and ends gather here and go out in transactions, one at a time: each is made
 * when its turn comes and carries all that has gathered by then. Each is guarded by the leader key and by the stamp of
 * every key that it touches. A transaction without an answer is sent again as it was until it is settled; until then
 * both outcomes count.
 */
public final class RecordWriter implements BindingReleaser {
    private static final long INITIAL_RETRY_DELAY_NANOS = Durations.millis(100);
    private static final long MAX_RETRY_DELAY_NANOS = Durations.millis(1600);

    private enum Write {
        BIND,
        RELEASE,
        /** A release whose task is done. */
        END
    }

    /** Hears what became of the writes. */
    public interface Listener {
        /** Something was committed, and these tasks are now bound. */
        void onCommitted(ImmutableSet<Machine> bound);

        /** A job turned out to be cancelled. */
        void onJobCancelled(Job job);

        /** The records are not as this leader left them, or another leads. */
        void onWriteFailed(String reason);
    }

    private final Loop loop;
    private final CancellationScope scope;
    private final StateClient state;
    private final Cluster cluster;
    private final LeaderTerm term;
    private final Listener listener;
    private final Latencies latencies;
    private final RecordPages records;
    /** What waits for its record, in the order of its coming. */
    private final Map<Binding, Write> waiting = new LinkedHashMap<>();

    private WriteBatch inFlight;
    private boolean waitsForTurn;
    private boolean levelRaised;
    private boolean lastSplit;
    private long writes;

    /** Writes within the limits of {@code settings}; the listener hears what became of the writes. */
    public RecordWriter(LeaderContext context, StateClient state, Listener listener) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.state = state;
        this.cluster = context.cluster();
        this.term = context.term();
        this.listener = listener;
        this.latencies = context.latencies();
        this.records = new RecordPages(
                context.settings().state(), context.term().featureLevel().level());
    }

    /** What is kept on which page. */
    public RecordPages records() {
        return records;
    }

    /** The failover is complete: pages that an earlier version has left too large are split, bit by bit. */
    public void failoverCompleted() {
        records.findOversized();
        pump();
    }

    /** The cluster feature level is that of this version: records may have its forms from now on. */
    public void levelRaised() {
        levelRaised = true;
        pump();
    }

    /** Puts a proposed binding, already part of the cluster state, on record. */
    public void bind(Binding binding) {
        waiting.put(binding, Write.BIND);
        pump();
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
        if (waiting.remove(binding, Write.BIND)) {
            cluster.unbind(binding, loop.nanos()); // never on record
            settle(binding.job());
            return;
        }
        binding.advanceTo(Binding.Stage.RELEASING);
        cluster.releaseCapacity(binding);
        waiting.merge(binding, done ? Write.END : Write.RELEASE, (a, b) -> a == Write.END ? a : b);
        pump();
    }

    /** Lets go of what a cancelled job had under way: proposals that are not being written, and its finished tasks. */
    public void withdrawCancelled(Job job) {
        for (Binding b : ImmutableList.copyOf(job.bindings())) {
            if (waiting.remove(b, Write.BIND)) {
                cluster.unbind(b, loop.nanos());
            }
        }
        records.removeFinishedTasks(job);
        settle(job);
    }

    /** True if the end of this job is on its way, so that the drop of its open entry is our own doing. */
    public boolean isCompleting(Job job) {
        return inFlight != null && inFlight.finishes(job);
    }

    /** Writes that wait or are on their way. */
    public int backlog() {
        return waiting.size() + (inFlight == null ? 0 : 1);
    }

    private void pump() {
        if (inFlight != null || waitsForTurn || (waiting.isEmpty() && !records.hasOversized())) {
            return;
        }
        waitsForTurn = true;
        boolean decisionsOnly = waiting.values().stream().allMatch(w -> w == Write.BIND);
        Priority priority = decisionsOnly ? Priority.SCHEDULING : Priority.HEARTBEATS;
        state.commitWhenAdmitted(
                priority,
                records.estimatedChanges(),
                () -> {
                    waitsForTurn = false;
                    inFlight = scope.isClosed() ? null : compose();
                    return Optional.ofNullable(inFlight).map(WriteBatch::transaction);
                },
                scope.guard(result -> {
                    if (inFlight == null) { // it never had its turn
                        scope.after(INITIAL_RETRY_DELAY_NANOS, () -> {
                            waitsForTurn = false;
                            pump();
                        });
                    } else {
                        judge(inFlight, result, INITIAL_RETRY_DELAY_NANOS);
                    }
                }));
    }

    private WriteBatch compose() {
        if (levelRaised) {
            levelRaised = false;
            records.raiseLevel(FeatureLevel.SUPPORTED);
        }
        WriteBatch batch = new WriteBatch(records, term, "w" + term.term() + "." + (++writes));
        // In turns with what waits, which could not be written on such a page once the limits have fallen.
        lastSplit = (!lastSplit || waiting.isEmpty()) && batch.splitOversized();
        if (lastSplit) {
            return batch;
        }
        // Services first: they are few, and each second counts. Then whatever has waited longest chooses the pages. If
        // releases went first, a stream of them would keep
        // proposals on other pages off the record for as long as it lasts.
        waiting.entrySet().removeIf(e -> e.getKey().job().spec().isService() && take(batch, e.getKey(), e.getValue()));
        waiting.entrySet().removeIf(e -> take(batch, e.getKey(), e.getValue()));
        return batch.isEmpty() ? null : batch;
    }

    private static boolean take(WriteBatch batch, Binding binding, Write write) {
        return write == Write.BIND ? batch.bind(binding) : batch.release(binding, write == Write.END);
    }

    private void sendAgain(WriteBatch batch, long retry) {
        state.commit(batch.transaction(), batch.priority(), scope.guard(result -> judge(batch, result, retry)));
    }

    private void judge(WriteBatch batch, TransactionResult result, long retry) {
        switch (result.outcome()) {
            case COMMITTED -> committed(batch, result.revision());
            case CONFLICT -> {
                if (batch.unknown()) {
                    probe(batch, result.conflictingKeys());
                } else {
                    conflict(batch, result.conflictingKeys());
                }
            }
            case UNKNOWN, NOT_EXECUTED -> {
                if (result.outcome() == TransactionResult.Outcome.UNKNOWN) {
                    batch.markUnknown();
                }
                scope.after(retry, () -> sendAgain(batch, Math.min(MAX_RETRY_DELAY_NANOS, retry * 2)));
            }
            default -> listener.onWriteFailed("a transaction was rejected");
        }
    }

    /** An earlier copy of the transaction may be what made this one fail: its own keys tell. */
    private void probe(WriteBatch batch, ImmutableList<String> failed) {
        state.get(batch.verificationKey(), batch.priority(), scope.guard(result -> {
            if (result.outcome() == StateResult.Outcome.UNAVAILABLE) {
                scope.after(INITIAL_RETRY_DELAY_NANOS, () -> probe(batch, failed));
            } else if (result.isOk() && batch.hasWritten(result.value().value())) {
                committed(batch, result.value().modRevision());
            } else {
                conflict(batch, failed);
            }
        }));
    }

    private void committed(WriteBatch batch, long revision) {
        inFlight = null;
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
        batch.released().forEach((b, done) -> {
            if (done) {
                b.job().markDone(b.task().index());
            }
            cluster.unbind(b, now);
            settle(b.job());
        });
        for (Job job : batch.finished()) {
            records.removeFinishedTasks(job);
            cluster.removeIfEnded(job, true);
        }
        records.removeIdleMachines(batch.released().keySet());
        pump();
        listener.onCommitted(bound.build());
    }

    /** A guard did not hold: nothing was written. What failed tells whether that is ordinary. */
    private void conflict(WriteBatch batch, ImmutableList<String> failed) {
        if (failed.contains(StateKeys.LEADER)) {
            listener.onWriteFailed("another node leads");
            return;
        }
        List<Job> cancelled = new ArrayList<>();
        for (String key : failed) {
            String id = key.startsWith(StateKeys.OPEN_JOBS_PREFIX)
                    ? key.substring(StateKeys.OPEN_JOBS_PREFIX.length())
                    : key.startsWith(StateKeys.JOBS_PREFIX) ? key.substring(StateKeys.JOBS_PREFIX.length()) : null;
            Job job = id == null ? null : cluster.job(id);
            if (job == null) {
                listener.onWriteFailed("not as this leader left it: " + key);
                return;
            }
            cancelled.add(job);
        }
        inFlight = null;
        batch.rollBack();
        Map<Binding, Write> since = new LinkedHashMap<>(waiting);
        waiting.clear();
        batch.released().forEach((b, done) -> waiting.put(b, done ? Write.END : Write.RELEASE));
        for (Binding b : batch.bound()) {
            // A job that was cancelled meanwhile has let go of its proposals already, of this one not, as it was on its
            // way. Put back, it would make this and every later transaction fail: nothing would ever be bound again.
            if (b.stage() == Binding.Stage.PROPOSED && !b.job().isCancelled()) {
                waiting.put(b, Write.BIND);
            } else {
                since.remove(b); // released or cancelled meanwhile, and never on record
                cluster.unbind(b, loop.nanos());
                settle(b.job());
            }
        }
        waiting.putAll(since);
        cancelled.forEach(listener::onJobCancelled);
        pump();
    }

    /** A cancelled job leaves the cluster state with its last binding. */
    private void settle(Job job) {
        cluster.removeIfEnded(job, job.isCancelled());
    }
}
