package org.spruceridge.persistence;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Json;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.persistence.PageIndex.Page;
import org.spruceridge.persistence.RecordPages.TaskChunk;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.PackedValue;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Transaction;
import org.spruceridge.term.LeaderTerm;

/** The making of one transaction, within the limits that the state service sets. */
final class WriteBatch {
    /** The record of a job's end and the drop of its open entry. */
    private static final int OPERATIONS_PER_COMPLETED_JOB = 2;
    /** Room in the body for the records of ended jobs, beside the pages. */
    private static final int MAX_COMPLETED_JOBS_BYTES = 10 << 10;

    private final RecordPages records;
    private final LeaderTerm term;
    private final String write;
    private final Set<Page<Machine>> bindings = new LinkedHashSet<>();
    private final Set<Page<TaskChunk>> chunks = new LinkedHashSet<>();
    private final Map<Binding, Boolean> released = new LinkedHashMap<>();
    private final Set<Binding> bound = new LinkedHashSet<>();
    private final Set<Job> guardedJobs = new HashSet<>();
    private final Map<TaskChunk, BitSet> ending = new HashMap<>();
    private final Map<Job, Integer> newlyDone = new HashMap<>();
    private final Map<Job, JsonNode> finished = new LinkedHashMap<>();
    private final List<Runnable> undo = new ArrayList<>();
    private int endsBytes;
    private Transaction transaction;
    private boolean unknown;

    WriteBatch(RecordPages records, LeaderTerm term, String write) {
        this.records = records;
        this.term = term;
        this.write = write;
        records.invalidateSizes();
    }

    boolean isEmpty() {
        return released.isEmpty() && bound.isEmpty();
    }

    Priority priority() {
        return released.isEmpty() ? Priority.SCHEDULING : Priority.HEARTBEATS;
    }

    Map<Binding, Boolean> released() {
        return released;
    }

    Set<Binding> bound() {
        return bound;
    }

    Set<Job> finished() {
        return finished.keySet();
    }

    boolean finishes(Job job) {
        return finished.containsKey(job);
    }

    boolean unknown() {
        return unknown;
    }

    /** No answer came: it may have been carried out, or may yet be. */
    void markUnknown() {
        unknown = true;
    }

    /** Moves what a page holds too much to other pages, as far as one transaction goes; false if none holds too much. */
    boolean splitOversized() {
        Page<Machine> ofBindings = records.bindings().oversized();
        Page<TaskChunk> ofFinished = records.finished().oversized();
        if (ofBindings != null) {
            split(records.bindings(), ofBindings, bindings);
        } else if (ofFinished != null) {
            split(records.finished(), ofFinished, chunks);
        }
        return ofBindings != null || ofFinished != null;
    }

    private <T> void split(PageIndex<T> index, Page<T> from, Set<Page<T>> written) {
        int maxPages = Math.min(records.txnOps(), records.maxPages());
        Set<Page<T>> targets = new LinkedHashSet<>();
        written.add(from);
        for (T item : List.copyOf(from.items())) {
            if (!index.isOverfull(from)) {
                return;
            }
            Page<T> to = index.firstPageWithRoom(item, targets);
            if (to == null && written.size() < maxPages) {
                to = index.pageWithRoomFor(item, targets);
            }
            if (to == null || from.items().size() == 1) {
                return;
            }
            targets.add(to);
            written.add(to);
            index.assign(item, to);
            undo.add(() -> index.assign(item, from));
        }
    }

    /** Takes a release in, unless there is no room for it. */
    boolean release(Binding b, boolean done) {
        Page<Machine> page = records.bindings().pageOf(b.machine());
        if (page != null && records.bindings().isOversized(page)) {
            return false; // it is split first
        }
        Job job = b.job();
        boolean ends = done && !job.isCancelled();
        int index = b.task().index();
        int inBatch = newlyDone.getOrDefault(job, 0) + (job.isDone(index) ? 0 : 1);
        boolean last = ends && job.doneCount() + inBatch == job.spec().tasks();
        TaskChunk chunk = ends && !last ? records.chunkOf(job, index) : null;
        Page<TaskChunk> chunkPage = chunk == null ? null : pageOf(chunk);
        if (chunkPage != null && records.finished().isOversized(chunkPage)) {
            return false;
        }
        JsonNode end = last && !finished.containsKey(job) ? endOf(job, records.valueBytes()) : null;
        int endBytes = end == null ? 0 : Json.bytes(end).length;
        if (!fits(page, chunkPage, end != null, endBytes, null)) {
            return false;
        }
        if (page == null) { // an orphan, which no record knows: some page must carry the name of this write
            page = pageFor(b.machine());
            records.bindings().assign(b.machine(), page);
        }
        bindings.add(page);
        released.put(b, ends);
        if (chunkPage != null) {
            chunks.add(chunkPage);
            ending.computeIfAbsent(chunk, c -> new BitSet()).set(index - chunk.first());
        }
        if (ends) {
            newlyDone.put(job, inBatch);
        }
        if (end != null) {
            finished.put(job, end);
            endsBytes += endBytes;
        }
        return true;
    }

    /** Takes a new binding in, unless there is no room for it. */
    boolean bind(Binding b) {
        Machine machine = b.machine();
        Page<Machine> page = records.bindings().pageOf(machine);
        if (page != null && records.bindings().isOversized(page)) {
            return false; // it is split first
        }
        if (page != null && records.bindings().isOverfull(page)) {
            return moveAndBind(b, page);
        }
        if (page == null) {
            page = pageFor(machine);
        }
        if (!fits(page, null, false, 0, b.job())) {
            return false;
        }
        records.bindings().assign(machine, page);
        bindings.add(page);
        bound.add(b);
        guardedJobs.add(b.job());
        return true;
    }

    /** The machine's page has no room for more: the machine moves to another, both written together. */
    private boolean moveAndBind(Binding b, Page<Machine> from) {
        Machine machine = b.machine();
        Page<Machine> to = records.bindings().pageWithRoomFor(machine, List.of());
        boolean both = fits(from, null, false, 0, b.job())
                && bindings.size() + (bindings.contains(from) ? 0 : 1) < records.maxPages()
                && ops() + 2 <= records.txnOps();
        if (!both) {
            return false;
        }
        bindings.add(from);
        bindings.add(to);
        records.bindings().assign(machine, to);
        // Were this write to fail, the machine is still recorded where it was.
        undo.add(() -> records.bindings().assign(machine, from));
        bound.add(b);
        guardedJobs.add(b.job());
        return true;
    }

    private Page<Machine> pageFor(Machine machine) {
        return records.bindings().pageWithRoomFor(machine, bindings);
    }

    private Page<TaskChunk> pageOf(TaskChunk chunk) {
        Page<TaskChunk> page = records.finished().pageOf(chunk);
        if (page == null) {
            page = records.finished().pageWithRoomFor(chunk, chunks);
            records.finished().assign(chunk, page);
        }
        return page;
    }

    private int ops() {
        return bindings.size() + chunks.size() + OPERATIONS_PER_COMPLETED_JOB * finished.size();
    }

    private boolean fits(Page<Machine> page, Page<TaskChunk> chunkPage, boolean end, int endBytes, Job guarded) {
        int pages = (bindings.contains(page) ? 0 : 1) + (chunkPage == null || chunks.contains(chunkPage) ? 0 : 1);
        int ops = ops() + pages + (end ? OPERATIONS_PER_COMPLETED_JOB : 0);
        // A guard is kept for each page that may yet come: else the open entries of many jobs leave room for one page
        // only.
        int guards =
                1 + records.txnOps() + guardedJobs.size() + (guarded == null || guardedJobs.contains(guarded) ? 0 : 1);
        boolean fits = ops <= records.txnOps()
                && guards <= 4 * records.txnOps()
                && (pages == 0 || bindings.size() + chunks.size() + pages <= records.maxPages())
                && (!end || endsBytes + endBytes <= MAX_COMPLETED_JOBS_BYTES);
        return fits || isEmpty();
    }

    private static JsonNode endOf(Job job, int valueBytes) {
        return new JobRecord(job.spec(), job.submittedMs(), JobRecord.Stage.DONE, 0).write(valueBytes);
    }

    Transaction transaction() {
        if (transaction == null) {
            transaction = build();
        }
        return transaction;
    }

    private Transaction build() {
        Transaction.Builder txn = Transaction.builder().compare(StateKeys.LEADER, term.leaderRevision());
        guardedJobs.forEach(job -> txn.compare(StateKeys.openJob(job.id()), job.modRevision()));
        bindings.forEach(p -> txn.put(p.key(), p.modRevision(), records.bindingsPage(write, p, this::recorded)));
        chunks.forEach(p -> txn.put(p.key(), p.modRevision(), records.finishedPage(write, p, ending)));
        finished.forEach((job, end) -> {
            txn.put(StateKeys.job(job.id()), job.modRevision(), end);
            txn.delete(StateKeys.openJob(job.id()), job.modRevision());
        });
        return txn.build();
    }

    private boolean recorded(Binding b) {
        boolean before = b.stage() == Binding.Stage.COMMITTED || b.stage() == Binding.Stage.RELEASING;
        return bound.contains(b) || (before && !released.containsKey(b));
    }

    /** A key that shows whether this transaction was carried out. */
    String verificationKey() {
        return bindings.isEmpty()
                ? chunks.iterator().next().key()
                : bindings.iterator().next().key();
    }

    /** True if this transaction wrote the value of {@link #verificationKey}. */
    boolean hasWritten(JsonNode value) {
        return PackedValue.transactionIdOf(value).equals(write);
    }

    /** It was carried out. */
    void markCommitted(long revision) {
        bindings.forEach(p -> p.modRevision(revision));
        chunks.forEach(p -> p.modRevision(revision));
    }

    /** It was not, and never will be. */
    void rollBack() {
        undo.forEach(Runnable::run);
    }
}
