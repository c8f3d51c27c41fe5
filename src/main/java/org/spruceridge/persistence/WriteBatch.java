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

/** Composes one transaction within the limits of the state service. Moves of items between pages can be rolled back. */
final class WriteBatch {
    /** The number of keys that a transaction can compare for each key that it can change. */
    private static final int COMPARISONS_PER_OPERATION = 4;

    private final RecordPages records;
    private final LeaderTerm term;
    private final String transactionId;
    private final WrittenPages pages = new WrittenPages();
    private final Map<Binding, WriteKind> released = new LinkedHashMap<>();
    private final Set<Binding> bound = new LinkedHashSet<>();
    private final Set<Job> guardedJobs = new HashSet<>();
    private final Map<TaskChunk, BitSet> completingTasks = new HashMap<>();
    private final Map<Job, Integer> newlyDoneCounts = new HashMap<>();
    private final CompletedJobs completedJobs = new CompletedJobs();
    private final List<Runnable> rollbackActions = new ArrayList<>();
    private Transaction transaction;
    private boolean outcomeUnknown;

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

    /** The jobs that this transaction records as done because it completes their last tasks. */
    Set<Job> completedJobs() {
        return completedJobs.jobs();
    }

    boolean completes(Job job) {
        return completedJobs.contains(job);
    }

    boolean isOutcomeUnknown() {
        return outcomeUnknown;
    }

    /** Records that an attempt got no response. The transaction can have been executed, or can still be executed. */
    void markOutcomeUnknown() {
        outcomeUnknown = true;
    }

    /** Moves as many items off the first oversized page as one transaction can. Returns false if there is none. */
    boolean splitOversizedPage() {
        Optional<Page<Machine>> oversizedBindings = records.bindings().firstOversizedPage();
        Optional<Page<TaskChunk>> oversizedTasks = records.finishedTasks().firstOversizedPage();
        PageSplitter splitter = new PageSplitter(Math.min(records.txnOps(), records.maxPages()), rollbackActions);
        if (oversizedBindings.isPresent()) {
            splitter.split(records.bindings(), oversizedBindings.get(), pages.bindings());
        } else if (oversizedTasks.isPresent()) {
            splitter.split(records.finishedTasks(), oversizedTasks.get(), pages.finishedTasks());
        }
        return oversizedBindings.isPresent() || oversizedTasks.isPresent();
    }

    /** Adds a release or a completion. Returns false if the batch has no room or the page must be split first. */
    boolean tryRelease(Binding binding, WriteKind kind) {
        Optional<Page<Machine>> page = records.bindings().pageOf(binding.machine());
        if (page.isPresent() && records.bindings().isOversized(page.get())) {
            return false;
        }
        Job job = binding.job();
        if (kind == WriteKind.RELEASE || job.isCancelled()) {
            return tryReleaseOnly(binding, page, WriteKind.RELEASE);
        }
        int newlyDoneCount = newlyDoneCounts.getOrDefault(job, 0)
                + (job.isDone(binding.task().index()) ? 0 : 1);
        boolean completesJob = job.doneCount() + newlyDoneCount == job.spec().taskCount();
        boolean added = completesJob ? tryAddJobCompletion(binding, page) : tryAddTaskCompletion(binding, page);
        if (added) {
            newlyDoneCounts.put(job, newlyDoneCount);
        }
        return added;
    }

    private boolean tryReleaseOnly(Binding binding, Optional<Page<Machine>> page, WriteKind kind) {
        if (!hasRoom(newPageCount(page), 0, 0)) {
            return false;
        }
        addRelease(binding, page, kind);
        return true;
    }

    private boolean tryAddTaskCompletion(Binding binding, Optional<Page<Machine>> page) {
        int index = binding.task().index();
        TaskChunk chunk = records.chunkOf(binding.job(), index);
        Page<TaskChunk> chunkPage = findOrAssignPage(chunk);
        if (records.finishedTasks().isOversized(chunkPage)) {
            return false;
        }
        if (!hasRoom(newPageCount(page) + (pages.finishedTasks().contains(chunkPage) ? 0 : 1), 0, 0)) {
            return false;
        }
        addRelease(binding, page, WriteKind.COMPLETE);
        pages.finishedTasks().add(chunkPage);
        completingTasks.computeIfAbsent(chunk, c -> new BitSet()).set(index - chunk.firstIndex());
        return true;
    }

    private boolean tryAddJobCompletion(Binding binding, Optional<Page<Machine>> page) {
        Job job = binding.job();
        if (completedJobs.contains(job)) {
            return tryReleaseOnly(binding, page, WriteKind.COMPLETE);
        }
        JsonNode record = CompletedJobs.doneRecord(job, records.valueBytes());
        int recordBytes = Json.bytes(record).length;
        boolean fits = hasRoom(newPageCount(page), 1, 0) && (isEmpty() || completedJobs.hasRoomFor(recordBytes));
        if (!fits) {
            return false;
        }
        addRelease(binding, page, WriteKind.COMPLETE);
        completedJobs.add(job, record, recordBytes);
        return true;
    }

    private void addRelease(Binding binding, Optional<Page<Machine>> recordedPage, WriteKind kind) {
        Machine machine = binding.machine();
        if (recordedPage.isPresent()) {
            pages.bindings().add(recordedPage.get());
        } else { // an orphan on a machine without a record; some page must contain the id of this transaction
            Page<Machine> page = pageWithRoomFor(machine);
            records.bindings().assign(machine, page);
            pages.bindings().add(page);
        }
        released.put(binding, kind);
    }

    /** Adds a new binding. Returns false if the batch has no room or the page must be split first. */
    boolean tryBind(Binding binding) {
        Machine machine = binding.machine();
        Optional<Page<Machine>> recordedPage = records.bindings().pageOf(machine);
        if (recordedPage.isPresent() && records.bindings().isOversized(recordedPage.get())) {
            return false;
        }
        if (recordedPage.isPresent() && records.bindings().exceedsCapacity(recordedPage.get())) {
            return tryMoveAndBind(binding, recordedPage.get());
        }
        Page<Machine> page = recordedPage.isPresent() ? recordedPage.get() : pageWithRoomFor(machine);
        if (!hasRoom(newPageCount(page), 0, newGuardedJobCount(binding.job()))) {
            return false;
        }
        records.bindings().assign(machine, page);
        pages.bindings().add(page);
        bound.add(binding);
        guardedJobs.add(binding.job());
        return true;
    }

    /** Moves a machine from its full page to another and adds the binding. The transaction writes both pages. */
    private boolean tryMoveAndBind(Binding binding, Page<Machine> fromPage) {
        Machine machine = binding.machine();
        Page<Machine> toPage = records.bindings().pageWithRoomFor(machine, List.of());
        boolean fits = hasRoom(newPageCount(fromPage), 0, newGuardedJobCount(binding.job()))
                && pages.bindings().size() + newPageCount(fromPage) < records.maxPages()
                && operationCount() + 2 <= records.txnOps();
        if (!fits) {
            return false;
        }
        pages.bindings().add(fromPage);
        pages.bindings().add(toPage);
        records.bindings().assign(machine, toPage);
        // If the transaction is not executed, the machine is still recorded on its previous page.
        rollbackActions.add(() -> records.bindings().assign(machine, fromPage));
        bound.add(binding);
        guardedJobs.add(binding.job());
        return true;
    }

    private Page<Machine> pageWithRoomFor(Machine machine) {
        return records.bindings().pageWithRoomFor(machine, pages.bindings());
    }

    private Page<TaskChunk> findOrAssignPage(TaskChunk chunk) {
        Optional<Page<TaskChunk>> recordedPage = records.finishedTasks().pageOf(chunk);
        if (recordedPage.isPresent()) {
            return recordedPage.get();
        }
        Page<TaskChunk> page = records.finishedTasks().pageWithRoomFor(chunk, pages.finishedTasks());
        records.finishedTasks().assign(chunk, page);
        return page;
    }

    private int operationCount() {
        return pages.count() + completedJobs.operationCount();
    }

    /** Returns 1 if the batch does not contain the page yet, else 0. A missing page counts as not contained. */
    private int newPageCount(Optional<Page<Machine>> page) {
        return page.isPresent() ? newPageCount(page.get()) : 1;
    }

    private int newPageCount(Page<Machine> page) {
        return pages.bindings().contains(page) ? 0 : 1;
    }

    private int newGuardedJobCount(Job job) {
        return guardedJobs.contains(job) ? 0 : 1;
    }

    /** True if the batch stays within the limits of a transaction. An empty batch accepts any single write. */
    private boolean hasRoom(int newPages, int newCompletedJobs, int newGuardedJobs) {
        int newOperations = newPages + CompletedJobs.OPERATIONS_PER_JOB * newCompletedJobs;
        // One comparison is reserved for each page that can still be added. Otherwise, comparing the open entries of
        // many jobs would leave room for only one page.
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
                        page.key(), page.modRevision(), records.bindingsJson(transactionId, page, this::isRecorded)));
        pages.finishedTasks()
                .forEach(page -> builder.put(
                        page.key(), page.modRevision(), records.finishedJson(transactionId, page, completingTasks)));
        completedJobs.addTo(builder);
        return builder.build();
    }

    private boolean isRecorded(Binding binding) {
        boolean wasRecorded = binding.stage() == Binding.Stage.COMMITTED || binding.stage() == Binding.Stage.RELEASING;
        return bound.contains(binding) || (wasRecorded && !released.containsKey(binding));
    }

    /** The key of a written page; its value shows whether this transaction was committed. */
    String verificationKey() {
        return pages.verificationKey();
    }

    /** True if this transaction wrote the value of {@link #verificationKey}. */
    boolean hasWritten(JsonNode value) {
        return PackedValue.transactionIdOf(value).equals(transactionId);
    }

    /** Sets the mod revision of the written pages to the revision of the commit. */
    void markCommitted(long revision) {
        pages.updateModRevision(revision);
    }

    /** Returns items to their recorded pages, after the transaction has failed and can no longer be executed. */
    void rollBack() {
        rollbackActions.forEach(Runnable::run);
    }
}
