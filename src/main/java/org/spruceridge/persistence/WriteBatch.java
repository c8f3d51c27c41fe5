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
import java.util.Optional;
import java.util.Set;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Json;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.persistence.PageIndex.Page;
import org.spruceridge.persistence.RecordPages.TaskChunk;
import org.spruceridge.record.PackedValue;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Transaction;
import org.spruceridge.term.LeaderTerm;

/** Composes one transaction within the limits of the state service, and can roll back what it changed in the index. */
final class WriteBatch {
    /** A transaction may compare this many times as many keys as it may change. */
    private static final int COMPARISONS_PER_OPERATION = 4;

    private final RecordPages records;
    private final LeaderTerm term;
    private final String transactionId;
    private final WrittenPages pages = new WrittenPages();
    private final Map<Binding, WriteKind> released = new LinkedHashMap<>();
    private final Set<Binding> bound = new LinkedHashSet<>();
    private final Set<Job> guardedJobs = new HashSet<>();
    private final Map<TaskChunk, BitSet> ending = new HashMap<>();
    private final Map<Job, Integer> newlyDone = new HashMap<>();
    private final CompletedJobs completedJobs = new CompletedJobs();
    private final List<Runnable> rollback = new ArrayList<>();
    private Transaction transaction;
    private boolean unknown;

    WriteBatch(RecordPages records, LeaderTerm term, String transactionId) {
        this.records = records;
        this.term = term;
        this.transactionId = transactionId;
        records.invalidateSizes();
    }

    boolean isEmpty() {
        return released.isEmpty() && bound.isEmpty();
    }

    Priority priority() {
        return released.isEmpty() ? Priority.SCHEDULING : Priority.HEARTBEATS;
    }

    Map<Binding, WriteKind> released() {
        return released;
    }

    Set<Binding> bound() {
        return bound;
    }

    /** The jobs whose last task this transaction records as done. */
    Set<Job> completedJobs() {
        return completedJobs.jobs();
    }

    boolean completes(Job job) {
        return completedJobs.contains(job);
    }

    boolean isUnknown() {
        return unknown;
    }

    /** No response came: the transaction may have been executed, or may still be. */
    void markUnknown() {
        unknown = true;
    }

    /** Moves items off the first oversized page, as many as one transaction can; false if no page is oversized. */
    boolean splitOversized() {
        Optional<Page<Machine>> ofBindings = records.bindings().firstOversized();
        Optional<Page<TaskChunk>> ofFinished = records.finished().firstOversized();
        PageSplitter splitter = new PageSplitter(Math.min(records.txnOps(), records.maxPages()), rollback);
        if (ofBindings.isPresent()) {
            splitter.split(records.bindings(), ofBindings.get(), pages.bindings());
        } else if (ofFinished.isPresent()) {
            splitter.split(records.finished(), ofFinished.get(), pages.chunks());
        }
        return ofBindings.isPresent() || ofFinished.isPresent();
    }

    /** Adds a release or a completion; false if there is no room for it, or its page has to be split first. */
    boolean release(Binding binding, WriteKind kind) {
        Optional<Page<Machine>> page = records.bindings().pageOf(binding.machine());
        if (page.isPresent() && records.bindings().isOversized(page.get())) {
            return false;
        }
        Job job = binding.job();
        if (kind == WriteKind.RELEASE || job.isCancelled()) {
            return releaseOnly(binding, page, WriteKind.RELEASE);
        }
        int newlyDoneOfJob =
                newlyDone.getOrDefault(job, 0) + (job.isDone(binding.task().index()) ? 0 : 1);
        boolean completesJob = job.doneCount() + newlyDoneOfJob == job.spec().tasks();
        boolean added = completesJob ? completeJob(binding, page) : completeTask(binding, page);
        if (added) {
            newlyDone.put(job, newlyDoneOfJob);
        }
        return added;
    }

    private boolean releaseOnly(Binding binding, Optional<Page<Machine>> page, WriteKind kind) {
        if (!hasRoom(newPage(page), 0, 0)) {
            return false;
        }
        addRelease(binding, page, kind);
        return true;
    }

    private boolean completeTask(Binding binding, Optional<Page<Machine>> page) {
        int index = binding.task().index();
        TaskChunk chunk = records.chunkOf(binding.job(), index);
        Page<TaskChunk> chunkPage = pageOf(chunk);
        if (records.finished().isOversized(chunkPage)) {
            return false;
        }
        if (!hasRoom(newPage(page) + (pages.chunks().contains(chunkPage) ? 0 : 1), 0, 0)) {
            return false;
        }
        addRelease(binding, page, WriteKind.COMPLETE);
        pages.chunks().add(chunkPage);
        ending.computeIfAbsent(chunk, c -> new BitSet()).set(index - chunk.first());
        return true;
    }

    private boolean completeJob(Binding binding, Optional<Page<Machine>> page) {
        Job job = binding.job();
        if (completedJobs.contains(job)) {
            return releaseOnly(binding, page, WriteKind.COMPLETE);
        }
        JsonNode record = CompletedJobs.recordOf(job, records.valueBytes());
        int recordBytes = Json.bytes(record).length;
        boolean fits = hasRoom(newPage(page), 1, 0) && (isEmpty() || completedJobs.hasRoomFor(recordBytes));
        if (!fits) {
            return false;
        }
        addRelease(binding, page, WriteKind.COMPLETE);
        completedJobs.add(job, record, recordBytes);
        return true;
    }

    private void addRelease(Binding binding, Optional<Page<Machine>> recordedOn, WriteKind kind) {
        Machine machine = binding.machine();
        if (recordedOn.isPresent()) {
            pages.bindings().add(recordedOn.get());
        } else { // an orphan, which no record knows: some page must carry the id of this transaction
            Page<Machine> page = pageFor(machine);
            records.bindings().assign(machine, page);
            pages.bindings().add(page);
        }
        released.put(binding, kind);
    }

    /** Adds a new binding; false if there is no room for it, or its page has to be split first. */
    boolean bind(Binding binding) {
        Machine machine = binding.machine();
        Optional<Page<Machine>> recordedOn = records.bindings().pageOf(machine);
        if (recordedOn.isPresent() && records.bindings().isOversized(recordedOn.get())) {
            return false;
        }
        if (recordedOn.isPresent() && records.bindings().isOverfull(recordedOn.get())) {
            return moveAndBind(binding, recordedOn.get());
        }
        Page<Machine> page = recordedOn.isPresent() ? recordedOn.get() : pageFor(machine);
        if (!hasRoom(newPage(page), 0, newGuardedJob(binding.job()))) {
            return false;
        }
        records.bindings().assign(machine, page);
        pages.bindings().add(page);
        bound.add(binding);
        guardedJobs.add(binding.job());
        return true;
    }

    /** The machine's page has no room for more: the machine moves to another, both written together. */
    private boolean moveAndBind(Binding binding, Page<Machine> from) {
        Machine machine = binding.machine();
        Page<Machine> to = records.bindings().pageWithRoomFor(machine, List.of());
        boolean both = hasRoom(newPage(from), 0, newGuardedJob(binding.job()))
                && pages.bindings().size() + newPage(from) < records.maxPages()
                && operationCount() + 2 <= records.txnOps();
        if (!both) {
            return false;
        }
        pages.bindings().add(from);
        pages.bindings().add(to);
        records.bindings().assign(machine, to);
        // Were this write to fail, the machine is still recorded where it was.
        rollback.add(() -> records.bindings().assign(machine, from));
        bound.add(binding);
        guardedJobs.add(binding.job());
        return true;
    }

    private Page<Machine> pageFor(Machine machine) {
        return records.bindings().pageWithRoomFor(machine, pages.bindings());
    }

    private Page<TaskChunk> pageOf(TaskChunk chunk) {
        Optional<Page<TaskChunk>> recordedOn = records.finished().pageOf(chunk);
        if (recordedOn.isPresent()) {
            return recordedOn.get();
        }
        Page<TaskChunk> page = records.finished().pageWithRoomFor(chunk, pages.chunks());
        records.finished().assign(chunk, page);
        return page;
    }

    private int operationCount() {
        return pages.count() + completedJobs.operationCount();
    }

    /** An item without a page gets one that this transaction does not write yet, as far as is known here. */
    private int newPage(Optional<Page<Machine>> page) {
        return page.isPresent() ? newPage(page.get()) : 1;
    }

    private int newPage(Page<Machine> page) {
        return pages.bindings().contains(page) ? 0 : 1;
    }

    private int newGuardedJob(Job job) {
        return guardedJobs.contains(job) ? 0 : 1;
    }

    /** True if so much more stays within the limits of a transaction; an empty batch takes any one write. */
    private boolean hasRoom(int newPages, int newCompletedJobs, int newGuardedJobs) {
        int newOperations = newPages + CompletedJobs.OPERATIONS_PER_JOB * newCompletedJobs;
        // A comparison is reserved for each page that may yet come: else the open entries of many jobs would leave room
        // for one page only.
        int comparisons = 1 + records.txnOps() + guardedJobs.size() + newGuardedJobs;
        boolean fits = operationCount() + newOperations <= records.txnOps()
                && comparisons <= COMPARISONS_PER_OPERATION * records.txnOps()
                && (newPages == 0 || pages.count() + newPages <= records.maxPages());
        return fits || isEmpty();
    }

    Transaction transaction() {
        if (transaction == null) {
            transaction = build();
        }
        return transaction;
    }

    private Transaction build() {
        Transaction.Builder builder = Transaction.builder().compare(StateKeys.LEADER, term.leaderRevision());
        guardedJobs.forEach(job -> builder.compare(StateKeys.openJob(job.id()), job.modRevision()));
        pages.bindings()
                .forEach(page -> builder.put(
                        page.key(), page.modRevision(), records.bindingsPage(transactionId, page, this::recorded)));
        pages.chunks()
                .forEach(page ->
                        builder.put(page.key(), page.modRevision(), records.finishedPage(transactionId, page, ending)));
        completedJobs.addTo(builder);
        return builder.build();
    }

    private boolean recorded(Binding binding) {
        boolean before = binding.stage() == Binding.Stage.COMMITTED || binding.stage() == Binding.Stage.RELEASING;
        return bound.contains(binding) || (before && !released.containsKey(binding));
    }

    /** A key that shows whether this transaction was committed. */
    String verificationKey() {
        return pages.verificationKey();
    }

    /** True if this transaction wrote the value of {@link #verificationKey}. */
    boolean hasWritten(JsonNode value) {
        return PackedValue.transactionIdOf(value).equals(transactionId);
    }

    /** The transaction was committed: its pages have this mod revision now. */
    void markCommitted(long revision) {
        pages.modRevision(revision);
    }

    /** The transaction was not and will not be executed: items return to the pages on which they are recorded. */
    void rollBack() {
        rollback.forEach(Runnable::run);
    }
}
