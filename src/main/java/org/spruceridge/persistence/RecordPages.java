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

/** The pages that this leader keeps: the bindings of machines, and the finished tasks of unfinished jobs. */
public final class RecordPages {
    private static final int MAX_BODY_BYTES = 48 << 10;
    /** What a transaction of a few ends changes beside the pages. */
    private static final int CHANGES_FOR_COMPLETED_JOBS = 4;

    private final int txnOps;
    private final int valueBytes;
    private final int pageBytes;
    /** The size of chunks at the base level, which version 0.1 derives from the present limit alone. */
    private final int baseChunkSize;

    private final int smallChunkSize;
    private final PageIndex<Machine> bindings;
    private final PageIndex<TaskChunk> finished;
    private FeatureLevel level;

    /** A run of a job's tasks, beginning with {@code first}, whose completion is recorded together. */
    public record TaskChunk(Job job, int first) {}

    /** Pages in the forms of a cluster feature level, within the limits of the state service. */
    public RecordPages(Settings.State limits, FeatureLevel level) {
        this.txnOps = limits.txnOps();
        this.valueBytes = limits.valueBytes();
        this.baseChunkSize = FinishedTasksRecord.chunkSize(limits.currentRecordKb());
        this.smallChunkSize = FinishedTasksRecord.chunkSize(limits.recordKb());
        this.pageBytes = (int) (limits.recordKb() * 1024);
        this.level = level;
        int capacity = PackedValue.capacity(limits.recordKb());
        this.bindings = new PageIndex<>(StateKeys.BINDINGS_PREFIX, capacity, BindingsRecord::bytes);
        this.finished = new PageIndex<>(StateKeys.FINISHED_TASKS_PREFIX, capacity, this::bytes);
    }

    /** The pages of bindings, by machine. */
    public PageIndex<Machine> bindings() {
        return bindings;
    }

    /** The pages of finished tasks, by chunk. */
    public PageIndex<TaskChunk> finished() {
        return finished;
    }

    /** The sizes of pages are computed anew, as bindings were added since the last batch. */
    void invalidateSizes() {
        bindings.invalidateSizes();
        finished.invalidateSizes();
    }

    private int chunkSize() {
        return level.includes(FeatureLevel.SERVICES) ? smallChunkSize : baseChunkSize;
    }

    /** Chunks do not straddle those of the base level, so that the tasks of each were on one page when the level rose. */
    TaskChunk chunkOf(Job job, int index) {
        int base = index / baseChunkSize * baseChunkSize;
        return new TaskChunk(job, base + (index - base) / chunkSize() * chunkSize());
    }

    /** The first task after the chunk. */
    private int endOf(TaskChunk chunk) {
        int baseEnd = (chunk.first / baseChunkSize + 1) * baseChunkSize;
        return Math.min(
                Math.min(chunk.first + chunkSize(), baseEnd), chunk.job.spec().tasks());
    }

    /** The size of chunks in records of the base level. */
    public int baseChunkSize() {
        return baseChunkSize;
    }

    /** Restores finished tasks that a page holds; {@code tasks} counts from {@code first}. */
    public void restoreFinished(Job job, int first, BitSet tasks, Page<TaskChunk> page) {
        for (int i = tasks.nextSetBit(0); i >= 0; i = tasks.nextSetBit(i + 1)) {
            job.markDone(first + i);
            finished.assign(chunkOf(job, first + i), page);
        }
    }

    /** Records are written in the forms of this level from now on. No transaction may be in flight. */
    void raiseLevel(FeatureLevel raised) {
        Map<TaskChunk, Page<TaskChunk>> old = finished.pagesByItem();
        level = raised;
        old.forEach((chunk, page) -> {
            finished.remove(chunk);
            int end = Math.min(chunk.first + baseChunkSize, chunk.job.spec().tasks());
            for (int first = chunk.first; first < end; first = endOf(new TaskChunk(chunk.job, first))) {
                finished.assign(new TaskChunk(chunk.job, first), page);
            }
        });
        finished.findOversized();
    }

    /** Finds the pages that an earlier version has left larger than may be written from now on. */
    void findOversized() {
        bindings.findOversized();
        finished.findOversized();
    }

    boolean hasOversized() {
        return bindings.firstOversized().isPresent()
                || finished.firstOversized().isPresent();
    }

    /** How large a value may be, in bytes. */
    int valueBytes() {
        return valueBytes;
    }

    int txnOps() {
        return txnOps;
    }

    /** The most pages that a transaction's body holds. */
    int maxPages() {
        return Math.max(2, MAX_BODY_BYTES / pageBytes);
    }

    /** How many changes the next transaction may need. */
    int estimatedChanges() {
        return Math.min(
                txnOps, Math.min(maxPages(), bindings.pageCount() + finished.pageCount()) + CHANGES_FOR_COMPLETED_JOBS);
    }

    /** Removes the finished tasks of a job that has ended. */
    void removeFinishedTasks(Job job) {
        for (int first = 0; first < job.spec().tasks(); first = endOf(new TaskChunk(job, first))) {
            finished.remove(new TaskChunk(job, first));
        }
    }

    /** Removes the machines that have no binding left; {@code released} are the bindings that were just released. */
    void removeIdleMachines(Collection<Binding> released) {
        for (Binding binding : released) {
            if (binding.machine().bindings().isEmpty()) {
                bindings.remove(binding.machine());
            }
        }
    }

    ObjectNode bindingsPage(String transactionId, Page<Machine> page, Predicate<Binding> recorded) {
        return BindingsRecord.write(transactionId, page.items(), recorded);
    }

    /** A page of finished tasks, with those that end in this transaction. */
    ObjectNode finishedPage(String transactionId, Page<TaskChunk> page, Map<TaskChunk, BitSet> ending) {
        return FinishedTasksRecord.write(
                transactionId,
                level,
                baseChunkSize,
                page.items().stream()
                        .map(chunk -> {
                            BitSet bits = chunk.job.done().get(chunk.first, endOf(chunk));
                            bits.or(ending.getOrDefault(chunk, new BitSet()));
                            return new FinishedTasksRecord.Chunk(chunk.job.id(), chunk.first, bits);
                        })
                        .toList());
    }

    private int bytes(Collection<TaskChunk> chunks) {
        int sum = 5;
        for (TaskChunk chunk : chunks) {
            sum += FinishedTasksRecord.bytes(chunk.job.id(), endOf(chunk) - chunk.first);
        }
        return sum;
    }
}
