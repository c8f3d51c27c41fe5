package org.spruceridge.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.Collection;
import java.util.Map;
import java.util.function.Predicate;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.config.Settings;
import org.spruceridge.leader.PageIndex.Page;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.record.FinishedRecord;
import org.spruceridge.record.Keys;
import org.spruceridge.record.PackedValue;

/** The pages that this leader keeps: the bindings of machines, and the finished tasks of unfinished jobs. */
final class RecordPages {
    private static final int BODY_BYTES = 48 << 10;
    /** What a transaction of a few ends changes beside the pages. */
    private static final int CHANGES_OF_ENDS = 4;

    private final int txnOps;
    private final int chunkSize;
    private final int pageBytes;
    private final PageIndex<Machine> bindings;
    private final PageIndex<Chunk> finished;

    /** A run of a job's tasks whose ends are kept together. */
    record Chunk(Job job, int number) {}

    RecordPages(Settings.State limits) {
        this.txnOps = limits.txnOps();
        this.chunkSize = FinishedRecord.chunkSize(limits.recordKb());
        this.pageBytes = (int) (limits.recordKb() * 1024);
        int capacity = PackedValue.capacity(limits.recordKb());
        this.bindings = new PageIndex<>(Keys.BINDINGS, capacity, BindingsRecord::bytes);
        this.finished = new PageIndex<>(Keys.FINISHED, capacity, this::bytes);
    }

    PageIndex<Machine> bindings() {
        return bindings;
    }

    PageIndex<Chunk> finished() {
        return finished;
    }

    /** A batch begins: what is bound and proposed since the last is counted in. */
    void measureAnew() {
        bindings.measureAnew();
        finished.measureAnew();
    }

    int chunkSize() {
        return chunkSize;
    }

    Chunk chunkOf(Job job, int index) {
        return new Chunk(job, index / chunkSize);
    }

    int txnOps() {
        return txnOps;
    }

    /** The most pages that a transaction's body holds. */
    int mostPages() {
        return Math.max(2, BODY_BYTES / pageBytes);
    }

    /** How many changes the next transaction may need. */
    int likelyChanges() {
        return Math.min(txnOps, Math.min(mostPages(), bindings.count() + finished.count()) + CHANGES_OF_ENDS);
    }

    /** The finished tasks of a job that is over are of no use any more. */
    void forget(Job job) {
        for (int number = 0; number * chunkSize < job.spec().tasks(); number++) {
            finished.remove(new Chunk(job, number));
        }
    }

    /** Machines of which nothing is bound any more need no record. */
    void tidy(Collection<Binding> released) {
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
    ObjectNode finishedPage(String write, Page<Chunk> page, Map<Chunk, BitSet> ending) {
        return FinishedRecord.write(
                write,
                page.items().stream()
                        .map(c -> {
                            BitSet bits = c.job.done().get(c.number * chunkSize, (c.number + 1) * chunkSize);
                            bits.or(ending.getOrDefault(c, new BitSet()));
                            return new FinishedRecord.Chunk(c.job.id(), c.number, bits);
                        })
                        .toList());
    }

    private int bytes(Collection<Chunk> chunks) {
        int sum = 5;
        for (Chunk c : chunks) {
            int tasks = Math.min(chunkSize, c.job.spec().tasks() - c.number * chunkSize);
            sum += FinishedRecord.bytes(c.job.id(), tasks);
        }
        return sum;
    }
}
