package org.spruceridge.lead;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.config.Settings;
import org.spruceridge.fleet.MachineLog;
import org.spruceridge.net.Budget.Rank;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.Scope;
import org.spruceridge.net.Times;
import org.spruceridge.record.FinishedRecord;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.Keys;
import org.spruceridge.record.MachineRecord;
import org.spruceridge.state.Entry;
import org.spruceridge.state.Result;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TxnResult;

/**
 * The leader's writes. Bindings, releases and ends wait here and go out in transactions, one at a time, each guarded
 * by the leader key and by the stamp of every key that it touches. A transaction without an answer is sent again as
 * it was until it is settled; until then both outcomes count.
 */
public final class Ledger implements MachineLog {
    private static final int BODY_BYTES = 48 << 10;
    private static final long FIRST_RETRY = Times.millis(100);
    private static final long LAST_RETRY = Times.millis(1600);

    /** Hears what became of the writes. */
    public interface Listener {
        /** Something was committed. */
        void committed();

        /** A job turned out to be cancelled. */
        void cancelled(Job job);

        /** The records are not as this leader left them, or another leads. */
        void broken(String why);
    }

    private final Loop loop;
    private final Scope scope;
    private final StateClient state;
    private final Cluster cluster;
    private final Tenure tenure;
    private final Listener listener;
    private final Latencies latencies;
    private final int txnOps;
    private final int chunkSize;
    private final Map<Binding, Boolean> releases = new LinkedHashMap<>();
    private final Set<Binding> binds = new LinkedHashSet<>();
    private final Set<Machine> dropMachines = new LinkedHashSet<>();
    private final Deque<Drop> drops = new ArrayDeque<>();
    private Batch inFlight;
    private long writes;

    /** A record to be dropped for tidiness. */
    private record Drop(String key, long stamp) {}

    public Ledger(
            Loop loop,
            Scope scope,
            StateClient state,
            Cluster cluster,
            Tenure tenure,
            Settings settings,
            Latencies latencies,
            Listener listener) {
        this.loop = loop;
        this.scope = scope;
        this.state = state;
        this.cluster = cluster;
        this.tenure = tenure;
        this.listener = listener;
        this.latencies = latencies;
        this.txnOps = settings.state().txnOps();
        this.chunkSize = FinishedRecord.chunkSize(settings.state().valueKb());
    }

    /** The most bindings whose record fits a value. */
    public static int mostBindings(Settings settings) {
        double bytes = settings.state().valueKb() * 1024 - MachineRecord.OWN_BYTES;
        return (int) Math.max(1, bytes / MachineRecord.BOUND_BYTES);
    }

    /** Puts a proposed binding, already part of the picture, on record. */
    public void bind(Binding binding) {
        binds.add(binding);
        pump();
    }

    /** Takes a binding off the record, on proof that its task is gone; {@code done} also records its task as done. */
    @Override
    public void release(Binding binding, boolean done) {
        if (binding.stage() == Binding.Stage.RELEASING && !done) {
            return;
        }
        if (binds.remove(binding)) {
            cluster.unbind(binding, loop.nanos()); // never on record
            settle(binding.job());
            return;
        }
        binding.stage(Binding.Stage.RELEASING);
        releases.merge(binding, done, Boolean::logicalOr);
        pump();
    }

    /** Forgets proposals that are not on their way yet, as when their job was cancelled. */
    public void withdraw(Job job) {
        for (Binding b : ImmutableList.copyOf(job.bindings())) {
            if (binds.remove(b)) {
                cluster.unbind(b, loop.nanos());
            }
        }
        settle(job);
    }

    /** Drops the record of a machine that is gone; its bindings must have been released before. */
    @Override
    public void dropMachine(Machine machine) {
        dropMachines.add(machine);
        pump();
    }

    /** Drops a record that nothing refers to any more. */
    public void drop(String key, long stamp) {
        drops.add(new Drop(key, stamp));
        pump();
    }

    /** True if the end of this job is on its way, so that the drop of its marker is our own doing. */
    public boolean finishing(Job job) {
        return inFlight != null && inFlight.finished.contains(job);
    }

    /** Writes that wait or are on their way. */
    public int backlog() {
        return releases.size() + binds.size() + (inFlight == null ? 0 : 1);
    }

    private void pump() {
        if (inFlight != null) {
            return;
        }
        Batch batch = compose();
        if (batch != null) {
            inFlight = batch;
            send(batch, FIRST_RETRY);
        }
    }

    private Batch compose() {
        Batch batch = new Batch("w" + tenure.term() + "." + (++writes));
        takeReleases(batch);
        takeBinds(batch);
        takeDrops(batch);
        return batch.isEmpty() ? null : batch;
    }

    private void takeReleases(Batch batch) {
        Iterator<Map.Entry<Binding, Boolean>> it = releases.entrySet().iterator();
        while (it.hasNext()) {
            Map.Entry<Binding, Boolean> next = it.next();
            Binding b = next.getKey();
            boolean done = next.getValue() && !b.job().cancelled();
            if (!batch.hasRoomFor(b.machine(), done ? b.job() : null)) {
                return;
            }
            batch.release(b, done);
            it.remove();
        }
    }

    private void takeBinds(Batch batch) {
        Iterator<Binding> it = binds.iterator();
        while (it.hasNext()) {
            Binding b = it.next();
            if (!batch.hasRoomFor(b.machine(), null)) {
                return;
            }
            batch.bind(b);
            it.remove();
        }
    }

    private void takeDrops(Batch batch) {
        Iterator<Machine> it = dropMachines.iterator();
        while (it.hasNext() && batch.ops() < txnOps) {
            Machine m = it.next();
            if (!m.bindings().isEmpty()) {
                continue; // its releases go first
            }
            it.remove();
            if (m.stamp() != 0) {
                batch.dropped.add(new Drop(Keys.machine(m.name()), m.stamp()));
                m.stamp(0);
            }
        }
        while (!drops.isEmpty() && batch.ops() < txnOps) {
            batch.dropped.add(drops.remove());
        }
    }

    private void send(Batch batch, long retry) {
        state.commit(batch.transaction(), batch.rank(), scope.guard(result -> {
            switch (result.kind()) {
                case COMMITTED -> committed(batch, result.revision());
                case CONFLICT -> {
                    if (batch.unknown) {
                        probe(batch, result.failed());
                    } else {
                        conflict(batch, result.failed());
                    }
                }
                case UNKNOWN, REFUSED -> {
                    batch.unknown |= result.kind() == TxnResult.Kind.UNKNOWN;
                    scope.after(retry, () -> send(batch, Math.min(LAST_RETRY, retry * 2)));
                }
                default -> listener.broken("a transaction was rejected");
            }
        }));
    }

    /** An earlier copy of the transaction may be what made this one fail: its own keys tell. */
    private void probe(Batch batch, ImmutableList<String> failed) {
        Batch.Mark mark = batch.mark();
        state.get(mark.key(), batch.rank(), scope.guard(result -> {
            if (result.kind() == Result.Kind.UNAVAILABLE) {
                scope.after(FIRST_RETRY, () -> probe(batch, failed));
            } else if (mark.shownBy(result)) {
                committed(batch, result.isOk() ? result.value().stamp() : 0);
            } else {
                conflict(batch, failed);
            }
        }));
    }

    private void committed(Batch batch, long revision) {
        inFlight = null;
        long now = loop.nanos();
        for (Machine m : batch.machines.keySet()) {
            m.stamp(revision);
        }
        for (Binding b : batch.bound) {
            if (b.stage() == Binding.Stage.PROPOSED) {
                b.stage(Binding.Stage.COMMITTED);
                latencies.record(Latencies.Kind.COMMITS, now - b.boundAt());
            }
        }
        batch.released.forEach((b, done) -> {
            if (done) {
                b.job().markDone(b.task().index());
            }
            cluster.unbind(b, now);
            settle(b.job());
        });
        batch.chunks.forEach((key, bits) -> key.job().chunkStamps().put(key.chunk(), revision));
        for (Job job : batch.finished) {
            cluster.removeIfOver(job, true);
        }
        pump();
        listener.committed();
    }

    /** A guard did not hold: nothing was written. What failed tells whether that is ordinary. */
    private void conflict(Batch batch, ImmutableList<String> failed) {
        if (failed.contains(Keys.LEADER)) {
            listener.broken("another node leads");
            return;
        }
        List<Job> cancelled = new ArrayList<>();
        for (String key : failed) {
            String id = key.startsWith(Keys.OPEN)
                    ? key.substring(Keys.OPEN.length())
                    : key.startsWith(Keys.JOBS) ? key.substring(Keys.JOBS.length()) : null;
            Job job = id == null ? null : cluster.job(id);
            if (job == null) {
                listener.broken("not as this leader left it: " + key);
                return;
            }
            cancelled.add(job);
        }
        inFlight = null;
        Map<Binding, Boolean> again = new LinkedHashMap<>(batch.released);
        again.putAll(releases);
        releases.clear();
        releases.putAll(again);
        for (Binding b : batch.bound) {
            if (b.stage() == Binding.Stage.PROPOSED) {
                binds.add(b);
            } else {
                releases.remove(b); // released meanwhile, and never on record
                cluster.unbind(b, loop.nanos());
            }
        }
        drops.addAll(batch.dropped);
        cancelled.forEach(listener::cancelled);
        pump();
    }

    /** A cancelled job leaves the picture with its last binding. */
    private void settle(Job job) {
        cluster.removeIfOver(job, job.cancelled());
    }

    private record ChunkKey(Job job, int chunk) {}

    /** The making of one transaction. */
    private final class Batch {
        private final String write;
        private final Map<Machine, Integer> machines = new LinkedHashMap<>();
        private final Map<Binding, Boolean> released = new LinkedHashMap<>();
        private final Set<Binding> bound = new LinkedHashSet<>();
        private final Map<ChunkKey, BitSet> chunks = new LinkedHashMap<>();
        private final Map<Job, Integer> newlyDone = new HashMap<>();
        private final Set<Job> finished = new LinkedHashSet<>();
        private final List<Drop> dropped = new ArrayList<>();
        private int finishOps;
        private Transaction transaction;
        private boolean unknown;

        Batch(String write) {
            this.write = write;
        }

        boolean isEmpty() {
            return machines.isEmpty() && dropped.isEmpty();
        }

        Rank rank() {
            return released.isEmpty() ? Rank.DECISIONS : Rank.REPORTS;
        }

        int ops() {
            return machines.size() + chunks.size() + finishOps + dropped.size();
        }

        /** The most that a change of this machine, with an end of a task of this job, can add. */
        boolean hasRoomFor(Machine machine, Job ending) {
            int more = machines.containsKey(machine) ? 0 : 1;
            int bytes = (machines.size() + more) * MachineRecord.OWN_BYTES;
            for (Machine m : machines.keySet()) {
                bytes += m.bindings().size() * MachineRecord.BOUND_BYTES;
            }
            if (ending != null) {
                more += 2 + ending.chunkStamps().size();
            }
            bytes += (chunks.size() + 1) * chunkSize / 4;
            // Each op is guarded, and so are the leader key and the marker of every job that is bound.
            boolean guardsFit = ops() + more + bound.size() + 2 <= 4 * txnOps;
            return ops() + more <= txnOps && guardsFit && bytes <= BODY_BYTES || isEmpty();
        }

        void release(Binding b, boolean done) {
            machines.merge(b.machine(), 1, Integer::sum);
            released.put(b, done);
            if (!done) {
                return;
            }
            Job job = b.job();
            int index = b.task().index();
            int ended = job.isDone(index) ? 0 : 1;
            int inBatch = newlyDone.merge(job, ended, Integer::sum);
            ChunkKey key = new ChunkKey(job, index / chunkSize);
            if (job.doneCount() + inBatch == job.spec().tasks()) {
                chunks.keySet().removeIf(k -> k.job() == job);
                if (finished.add(job)) {
                    finishOps += 2 + job.chunkStamps().size();
                }
            } else {
                chunks.computeIfAbsent(key, k -> recorded(job, k.chunk())).set(index % chunkSize);
            }
        }

        void bind(Binding b) {
            machines.merge(b.machine(), 1, Integer::sum);
            bound.add(b);
        }

        private BitSet recorded(Job job, int chunk) {
            return job.done().get(chunk * chunkSize, (chunk + 1) * chunkSize);
        }

        Transaction transaction() {
            if (transaction == null) {
                transaction = build();
            }
            return transaction;
        }

        private Transaction build() {
            Transaction.Builder txn = Transaction.builder().guard(Keys.LEADER, tenure.leaderStamp());
            for (Binding b : bound) {
                txn.guard(Keys.open(b.job().id()), b.job().stamp());
            }
            machines.keySet()
                    .forEach(m ->
                            txn.set(Keys.machine(m.name()), m.stamp(), record(m).toJson()));
            chunks.forEach((key, bits) -> txn.set(
                    Keys.finished(key.job().id(), key.chunk()),
                    key.job().chunkStamps().getOrDefault(key.chunk(), 0L),
                    new FinishedRecord(key.job().id(), key.chunk(), bits, write).toJson()));
            for (Job job : finished) {
                JobRecord end = new JobRecord(job.spec(), job.submittedMs(), JobRecord.Stage.DONE);
                txn.set(Keys.job(job.id()), job.stamp(), end.write());
                txn.drop(Keys.open(job.id()), job.stamp());
                job.chunkStamps().forEach((chunk, stamp) -> txn.drop(Keys.finished(job.id(), chunk), stamp));
            }
            dropped.forEach(d -> txn.drop(d.key(), d.stamp()));
            return txn.build();
        }

        private MachineRecord record(Machine m) {
            ImmutableList.Builder<MachineRecord.Bound> list = ImmutableList.builder();
            for (Binding b : m.bindings()) {
                boolean recorded = b.stage() == Binding.Stage.COMMITTED || b.stage() == Binding.Stage.RELEASING;
                if (bound.contains(b) || (recorded && !released.containsKey(b))) {
                    list.add(new MachineRecord.Bound(b.task(), b.attempt()));
                }
            }
            return new MachineRecord(m.address(), m.type(), m.zone(), m.spot(), list.build(), write);
        }

        /** The key that shows whether this transaction was carried out. */
        Mark mark() {
            return machines.isEmpty()
                    ? new Mark(dropped.get(0).key(), null)
                    : new Mark(Keys.machine(machines.keySet().iterator().next().name()), write);
        }

        /** A key, and the name of the write that it then carries; null if it is then gone. */
        private record Mark(String key, String write) {
            boolean shownBy(Result<Entry> result) {
                return write == null
                        ? result.kind() == Result.Kind.MISSING
                        : result.isOk()
                                && result.value().value().path("w").asText().equals(write);
            }
        }
    }
}
