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

    /** A run of a job's tasks whose ends are kept together, by the first of them. */
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

    /** A batch begins: what is bound and proposed since the last is counted in. */
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

    /** Takes over tasks, counted from {@code first}, whose ends a page holds. */
    public void restoreFinished(Job job, int first, BitSet tasks, Page<TaskChunk> page) {
        for (int i = tasks.nextSetBit(0); i >= 0; i = tasks.nextSetBit(i + 1)) {
            job.markDone(first + i);
            finished.assign(chunkOf(job, first + i), page);
        }
    }

    /** From now on records have the forms of this level. No transaction may be on its way. */
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

    /** The finished tasks of a job that is over are of no use any more. */
    void removeFinishedTasks(Job job) {
        for (int first = 0; first < job.spec().tasks(); first = endOf(new TaskChunk(job, first))) {
            finished.remove(new TaskChunk(job, first));
        }
    }

    /** Machines of which nothing is bound any more need no record. */
    void removeIdleMachines(Collection<Binding> released) {
        for (Binding b : released) {
            if (b.machine().bindings().isEmpty()) {
                bindings.remove(b.machine());
            }
        }
    }

    ObjectNode bindingsPage(String write, Page<Machine> page, Predicate<Binding> recorded) {
        return BindingsRecord.write(write, page.items(), recorded);
    }

    /** A page of finished tasks, with those that end in this transaction. */
    ObjectNode finishedPage(String write, Page<TaskChunk> page, Map<TaskChunk, BitSet> ending) {
        return FinishedTasksRecord.write(
                write,
                level,
                baseChunkSize,
                page.items().stream()
                        .map(c -> {
                            BitSet bits = c.job.done().get(c.first, endOf(c));
                            bits.or(ending.getOrDefault(c, new BitSet()));
                            return new FinishedTasksRecord.Chunk(c.job.id(), c.first, bits);
                        })
                        .toList());
    }

    private int bytes(Collection<TaskChunk> chunks) {
        int sum = 5;
        for (TaskChunk c : chunks) {
            sum += FinishedTasksRecord.bytes(c.job.id(), endOf(c) - c.first);
        }
        return sum;
    }
}
