package org.spruceridge.persistence;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.Collection;
import java.util.Map;
import java.util.function.Predicate;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.config.Settings;
import org.spruceridge.persistence.PageIndex.Page;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.record.FinishedTasksRecord;
import org.spruceridge.record.PackedValue;
import org.spruceridge.record.StateKeys;
import org.spruceridge.upgrade.FeatureLevel;

/**
 * The record pages that this leader maintains: the bindings of each machine, and the finished tasks of unfinished jobs.
 */
public final class RecordPages {
    private static final int MAX_BODY_BYTES = 48 << 10;
    /** The estimated number of changes for the records of a few completed jobs, in addition to the changes of pages. */
    private static final int CHANGES_FOR_COMPLETED_JOBS = 4;

    private final int txnOps;
    private final int valueBytes;
    private final int maxRecordBytes;
    /**
     * The number of tasks per chunk at the base level. Version 0.1 derives this number from the current value limit and
     * ignores the next one.
     */
    private final int baseChunkSize;

    /** The number of tasks per chunk at the level {@link FeatureLevel#SERVICES} and above. */
    private final int smallChunkSize;

    private final PageIndex<Machine> bindings;
    private final PageIndex<TaskChunk> finishedTasks;
    private FeatureLevel level;

    /** A contiguous range of a job's tasks, starting at {@code firstIndex}, whose completion is recorded together. */
    public record TaskChunk(Job job, int firstIndex) {}

    /**
     * Creates an empty set of pages. Records have the format of {@code level} and stay within {@code limits}, the
     * limits of the state service.
     */
    public RecordPages(Settings.State limits, FeatureLevel level) {
        this.txnOps = limits.txnOps();
        this.valueBytes = limits.valueBytes();
        this.baseChunkSize = FinishedTasksRecord.tasksPerChunk(limits.currentRecordKb());
        this.smallChunkSize = FinishedTasksRecord.tasksPerChunk(limits.recordKb());
        this.maxRecordBytes = (int) (limits.recordKb() * 1024);
        this.level = level;
        int capacity = PackedValue.capacity(limits.recordKb());
        this.bindings = new PageIndex<>(StateKeys.BINDINGS_PREFIX, capacity, BindingsRecord::maxPageBytes);
        this.finishedTasks = new PageIndex<>(StateKeys.FINISHED_TASKS_PREFIX, capacity, this::maxFinishedTasksBytes);
    }

    /** The pages of bindings, indexed by machine. */
    public PageIndex<Machine> bindings() {
        return bindings;
    }

    /** The pages of finished tasks, indexed by chunk. */
    public PageIndex<TaskChunk> finishedTasks() {
        return finishedTasks;
    }

    /**
     * Discards the cached page sizes; called for each new batch, because bindings can have been added since the
     * previous batch.
     */
    void invalidateSizes() {
        bindings.invalidateSizes();
        finishedTasks.invalidateSizes();
    }

    private int chunkSize() {
        return level.includes(FeatureLevel.SERVICES) ? smallChunkSize : baseChunkSize;
    }

    /**
     * Returns the chunk that contains a task. A chunk never spans two chunks of the base level. All tasks of a chunk
     * were therefore on the same page when the feature level was raised.
     */
    TaskChunk chunkOf(Job job, int taskIndex) {
        int baseChunkStart = taskIndex / baseChunkSize * baseChunkSize;
        return new TaskChunk(job, baseChunkStart + (taskIndex - baseChunkStart) / chunkSize() * chunkSize());
    }

    /** The index of the first task after the chunk. */
    private int endIndex(TaskChunk chunk) {
        int baseEnd = (chunk.firstIndex / baseChunkSize + 1) * baseChunkSize;
        return Math.min(
                Math.min(chunk.firstIndex + chunkSize(), baseEnd),
                chunk.job.spec().taskCount());
    }

    /** The number of tasks per chunk in records that are written at the feature level {@link FeatureLevel#BASE}. */
    public int baseChunkSize() {
        return baseChunkSize;
    }

    /** Restores finished tasks from a page; bit 0 of {@code tasks} is the task at {@code firstIndex}. */
    public void restoreFinishedTasks(Job job, int firstIndex, BitSet tasks, Page<TaskChunk> page) {
        for (int i = tasks.nextSetBit(0); i >= 0; i = tasks.nextSetBit(i + 1)) {
            job.markDone(firstIndex + i);
            finishedTasks.assign(chunkOf(job, firstIndex + i), page);
        }
    }

    /** Switches new writes to the record format of this level. Must not be called while a transaction is in flight. */
    void raiseLevel(FeatureLevel raised) {
        Map<TaskChunk, Page<TaskChunk>> previousPages = finishedTasks.pagesByItem();
        level = raised;
        previousPages.forEach((chunk, page) -> {
            finishedTasks.remove(chunk);
            int chunkEnd =
                    Math.min(chunk.firstIndex + baseChunkSize, chunk.job.spec().taskCount());
            for (int start = chunk.firstIndex; start < chunkEnd; start = endIndex(new TaskChunk(chunk.job, start))) {
                finishedTasks.assign(new TaskChunk(chunk.job, start), page);
            }
        });
        finishedTasks.markOversizedPages();
    }

    /** Marks the pages of an earlier version that exceed the size limit for new writes. */
    void markOversizedPages() {
        bindings.markOversizedPages();
        finishedTasks.markOversizedPages();
    }

    boolean hasOversizedPages() {
        return bindings.firstOversizedPage().isPresent()
                || finishedTasks.firstOversizedPage().isPresent();
    }

    /** The maximum size of a value in bytes. */
    int valueBytes() {
        return valueBytes;
    }

    /** The maximum number of changes in a transaction. */
    int txnOps() {
        return txnOps;
    }

    /** The maximum number of pages that fit into the body of a transaction. */
    int maxPages() {
        return Math.max(2, MAX_BODY_BYTES / maxRecordBytes);
    }

    /** The estimated maximum number of changes in the next transaction. */
    int estimatedChangeCount() {
        return Math.min(
                txnOps,
                Math.min(maxPages(), bindings.pageCount() + finishedTasks.pageCount()) + CHANGES_FOR_COMPLETED_JOBS);
    }

    /** Removes the finished tasks of a job that has ended. */
    void removeFinishedTasks(Job job) {
        for (int start = 0; start < job.spec().taskCount(); start = endIndex(new TaskChunk(job, start))) {
            finishedTasks.remove(new TaskChunk(job, start));
        }
    }

    /** Removes the machines of released bindings from their pages if the machines have no other bindings. */
    void removeIdleMachines(Collection<Binding> released) {
        for (Binding binding : released) {
            if (binding.machine().bindings().isEmpty()) {
                bindings.remove(binding.machine());
            }
        }
    }

    ObjectNode bindingsJson(String transactionId, Page<Machine> page, Predicate<Binding> isRecorded) {
        return BindingsRecord.write(transactionId, page.items(), isRecorded);
    }

    /** Returns a page of finished tasks as JSON, including the tasks that this transaction completes. */
    ObjectNode finishedJson(String transactionId, Page<TaskChunk> page, Map<TaskChunk, BitSet> completingTasks) {
        return FinishedTasksRecord.write(
                transactionId,
                level,
                baseChunkSize,
                page.items().stream()
                        .map(chunk -> {
                            BitSet chunkTasks = chunk.job.done().get(chunk.firstIndex, endIndex(chunk));
                            chunkTasks.or(completingTasks.getOrDefault(chunk, new BitSet()));
                            return new FinishedTasksRecord.Chunk(chunk.job.id(), chunk.firstIndex, chunkTasks);
                        })
                        .toList());
    }

    private int maxFinishedTasksBytes(Collection<TaskChunk> chunks) {
        int totalBytes = 5;
        for (TaskChunk chunk : chunks) {
            totalBytes += FinishedTasksRecord.maxChunkBytes(chunk.job.id(), endIndex(chunk) - chunk.firstIndex);
        }
        return totalBytes;
    }
}
