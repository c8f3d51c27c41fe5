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

/**
 * Tests the pages of finished tasks of a job of the maximum size. Finished tasks stay on their page when the feature
 * level is raised. Pages are split to fit when the limits are lowered.
 */
final class RecordPagesTest {
    private static final int TASK_COUNT = 100_000;

    private static Settings.State limits(double currentKb, double nextKb) {
        return new Settings.State(
                new Settings.StateLimits(200, 50, currentKb, 24), new Settings.StateLimits(200, 50, nextKb, 4));
    }

    private static BitSet finishedTasksOn(ObjectNode page, int baseChunkSize) throws BadMessageException {
        BitSet tasks = new BitSet();
        for (FinishedTasksRecord.Chunk chunk : FinishedTasksRecord.read(page, baseChunkSize)) {
            chunk.tasks().stream().forEach(i -> tasks.set(chunk.firstTaskIndex() + i));
        }
        return tasks;
    }

    /**
     * Each page must hold the same tasks before and after the level is raised. Otherwise, a leader that stops between
     * two page writes would lose finished tasks.
     */
    @ParameterizedTest
    @CsvSource({"8, 2", "4, 2", "8, 3.3", "8, 8"})
    void finishedTasksStayOnTheirPageWhenLevelIsRaised(double currentKb, double nextKb) throws BadMessageException {
        RecordPages records = new RecordPages(limits(currentKb, nextKb), FeatureLevel.BASE);
        Job job = WriteBatchTest.job(1, TASK_COUNT);
        SplittableRandom random = new SplittableRandom(5);
        Map<String, PageIndex.Page<RecordPages.TaskChunk>> pages = new HashMap<>();
        for (int i = 0; i < TASK_COUNT; i++) {
            if (random.nextInt(3) > 0) {
                RecordPages.TaskChunk chunk = records.chunkOf(job, i);
                if (records.finishedTasks().pageOf(chunk).isEmpty()) {
                    PageIndex.Page<RecordPages.TaskChunk> page =
                            records.finishedTasks().pageWithRoomFor(chunk, Set.of());
                    records.finishedTasks().assign(chunk, page);
                    pages.put(page.key(), page);
                }
                job.markDone(i);
            }
        }
        Map<String, BitSet> tasksBefore = new HashMap<>();
        for (var page : pages.values()) {
            tasksBefore.put(
                    page.key(), finishedTasksOn(records.finishedJson("w", page, Map.of()), records.baseChunkSize()));
        }
        records.raiseLevel(FeatureLevel.SERVICES);
        BitSet allTasks = new BitSet();
        for (var page : pages.values()) {
            BitSet tasksAfter = finishedTasksOn(records.finishedJson("w", page, Map.of()), records.baseChunkSize());
            assertTrue(
                    tasksBefore.get(page.key()).equals(tasksAfter), page.key() + " must hold the same tasks as before");
            allTasks.or(tasksAfter);
        }
        assertTrue(job.done().equals(allTasks), "the pages together must hold exactly the finished tasks of the job");
    }

    /** After the split, every page must be within the next limit, and each task must be on exactly one page. */
    @ParameterizedTest
    @CsvSource({"8, 2", "4, 2", "8, 3.3"})
    void oversizedPagesOfLargestJobAreSplitToFit(double currentKb, double nextKb) throws BadMessageException {
        Settings.State limits = limits(currentKb, nextKb);
        RecordPages records = new RecordPages(limits, FeatureLevel.SUPPORTED);
        Job job = WriteBatchTest.job(1, TASK_COUNT);
        int baseChunkSize = records.baseChunkSize();
        PageIndex.Page<RecordPages.TaskChunk> oversizedPage =
                records.finishedTasks().restorePage("parts/1", 1);
        for (int first = 0; first < TASK_COUNT; first += baseChunkSize) {
            BitSet tasks = new BitSet();
            tasks.set(0, Math.min(baseChunkSize, TASK_COUNT - first));
            records.restoreFinishedTasks(job, first, tasks, oversizedPage);
        }
        records.markOversizedPages();
        Set<PageIndex.Page<RecordPages.TaskChunk>> pages = new HashSet<>();
        for (int i = 0; i < 100 && records.hasOversizedPages(); i++) {
            WriteBatch batch = new WriteBatch(records, new LeaderTerm(9, 1, 0), "w" + i);
            assertTrue(batch.splitOversizedPage());
            assertTrue(batch.transaction().changeCount() <= limits.txnOps());
            batch.markCommitted(i + 2);
        }
        BitSet allTasks = new BitSet();
        for (int i = 0; i < TASK_COUNT; i++) {
            pages.add(records.finishedTasks().pageOf(records.chunkOf(job, i)).orElseThrow());
        }
        for (var page : pages) {
            ObjectNode value = records.finishedJson("w", page, Map.of());
            assertTrue(Json.bytes(value).length <= limits.valueBytes(), page.key() + " must fit into a value");
            BitSet tasks = finishedTasksOn(value, baseChunkSize);
            assertTrue(!allTasks.intersects(tasks), "a task must not be on two pages");
            allTasks.or(tasks);
        }
        assertEquals(TASK_COUNT, allTasks.cardinality());
    }
}
