package org.spruceridge.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.spruceridge.cluster.Job;
import org.spruceridge.config.Settings;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;
import org.spruceridge.record.FinishedTasksRecord;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.FeatureLevel;

/** The finished tasks of the largest job keep their page, and fit it, as the level rises and the limits fall. */
final class RecordPagesTest {
    private static final int TASKS = 100_000;

    private static Settings.State limits(double nowKb, double nextKb) {
        return new Settings.State(
                new Settings.StateLimits(200, 50, nowKb, 24), new Settings.StateLimits(200, 50, nextKb, 4));
    }

    private static BitSet finishedOn(ObjectNode page, int baseChunkSize) throws BadMessageException {
        BitSet tasks = new BitSet();
        for (FinishedTasksRecord.Chunk chunk : FinishedTasksRecord.read(page, baseChunkSize)) {
            chunk.tasks().stream().forEach(i -> tasks.set(chunk.first() + i));
        }
        return tasks;
    }

    /** Written one after the other, each page still holds all that it held: a leader may end between two writes. */
    @ParameterizedTest
    @CsvSource({"8, 2", "4, 2", "8, 3.3", "8, 8"})
    void noFinishedTaskLeavesItsPageAsTheLevelRises(double nowKb, double nextKb) throws BadMessageException {
        RecordPages records = new RecordPages(limits(nowKb, nextKb), FeatureLevel.BASE);
        Job job = WriteBatchTest.job(1, TASKS);
        SplittableRandom random = new SplittableRandom(5);
        Map<String, PageIndex.Page<RecordPages.TaskChunk>> pages = new HashMap<>();
        for (int i = 0; i < TASKS; i++) {
            if (random.nextInt(3) > 0) {
                RecordPages.TaskChunk chunk = records.chunkOf(job, i);
                if (records.finished().pageOf(chunk).isEmpty()) {
                    PageIndex.Page<RecordPages.TaskChunk> page =
                            records.finished().pageWithRoomFor(chunk, Set.of());
                    records.finished().assign(chunk, page);
                    pages.put(page.key(), page);
                }
                job.markDone(i);
            }
        }
        Map<String, BitSet> before = new HashMap<>();
        for (var page : pages.values()) {
            before.put(page.key(), finishedOn(records.finishedPage("w", page, Map.of()), records.baseChunkSize()));
        }
        records.raiseLevel(FeatureLevel.SERVICES);
        BitSet all = new BitSet();
        for (var page : pages.values()) {
            BitSet now = finishedOn(records.finishedPage("w", page, Map.of()), records.baseChunkSize());
            assertTrue(before.get(page.key()).equals(now), page.key());
            all.or(now);
        }
        assertTrue(job.done().equals(all), "finished tasks on all pages");
    }

    /** After the split every page is within the limit to come, and nothing is lost or doubled. */
    @ParameterizedTest
    @CsvSource({"8, 2", "4, 2", "8, 3.3"})
    void pagesOfTheLargestJobAreSplitToFit(double nowKb, double nextKb) throws BadMessageException {
        Settings.State limits = limits(nowKb, nextKb);
        RecordPages records = new RecordPages(limits, FeatureLevel.SUPPORTED);
        Job job = WriteBatchTest.job(1, TASKS);
        int base = records.baseChunkSize();
        PageIndex.Page<RecordPages.TaskChunk> large = records.finished().restorePage("parts/1", 1);
        for (int first = 0; first < TASKS; first += base) {
            BitSet tasks = new BitSet();
            tasks.set(0, Math.min(base, TASKS - first));
            records.restoreFinished(job, first, tasks, large);
        }
        records.findOversized();
        Set<PageIndex.Page<RecordPages.TaskChunk>> pages = new HashSet<>();
        for (int i = 0; i < 100 && records.hasOversized(); i++) {
            WriteBatch batch = new WriteBatch(records, new LeaderTerm(9, 1, 0), "w" + i);
            assertTrue(batch.splitOversized());
            assertTrue(batch.transaction().changeCount() <= limits.txnOps());
            batch.markCommitted(i + 2);
        }
        BitSet all = new BitSet();
        for (int i = 0; i < TASKS; i++) {
            pages.add(records.finished().pageOf(records.chunkOf(job, i)).orElseThrow());
        }
        for (var page : pages) {
            ObjectNode value = records.finishedPage("w", page, Map.of());
            assertTrue(Json.bytes(value).length <= limits.valueBytes(), page.key());
            BitSet tasks = finishedOn(value, base);
            assertTrue(!all.intersects(tasks), "no task on two pages");
            all.or(tasks);
        }
        assertEquals(TASKS, all.cardinality());
    }
}
