package org.spruceridge.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Settings;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.FeatureLevel;

/**
 * Tests that transactions have the expected content and stay within the limits of the state service, also in clusters
 * that are larger than the production fleets.
 */
final class WriteBatchTest {
    private static final Settings.State LIMITS = new Settings.State(200, 50, 8, 24);
    private static final long ATTEMPT = 9L << 24;
    private static final int JOB_COUNT = 60;

    private final Cluster cluster = new Cluster();
    private RecordPages records = new RecordPages(LIMITS, FeatureLevel.SUPPORTED);
    private final LeaderTerm term = new LeaderTerm(9, 1, 0);
    private int batchCount;

    static Job job(int number, int taskCount) {
        return new Job(
                Fixtures.spec(
                        String.format("j-%06d", number),
                        JobPriority.NORMAL,
                        taskCount,
                        new Resources(1, 0, 1),
                        60,
                        0,
                        OptionalDouble.empty()),
                1,
                0);
    }

    private Binding binding(Job job, int index, Machine machine) {
        Binding binding = new Binding(job, index, ATTEMPT + index, machine, Binding.Stage.PROPOSED, 0);
        cluster.bind(binding);
        return binding;
    }

    private WriteBatch batch() {
        return new WriteBatch(records, term, "w" + (++batchCount));
    }

    private Machine machine(int number) {
        Machine machine =
                new Machine(String.format("i-%06d", number), "", new MachineKind("t4", "a", number % 2 == 0), 0, 0);
        cluster.add(machine);
        return machine;
    }

    private static void commit(WriteBatch batch, long revision) {
        batch.transaction();
        batch.markCommitted(revision);
        batch.bound().forEach(b -> b.advanceTo(Binding.Stage.COMMITTED));
    }

    /** The machine counts are 1.5 times the present sizes of the fleets of both deployments. */
    @ParameterizedTest
    @CsvSource({"1640, 8, 24", "1460, 4, 12", "4400, 8, 24", "4400, 2, 8", "4400, 2, 4"})
    void bindingsOfWholeFleetFitInFewTransactionsWithinAllLimits(int machineCount, double valueKb, int txnOps)
            throws BadMessageException {
        Settings.State limits = new Settings.State(200, 50, valueKb, txnOps);
        records = new RecordPages(limits, FeatureLevel.SUPPORTED);
        Deque<Binding> waiting = fourBindingsPerMachine(machineCount);
        int transactionCount = 0;
        Set<String> pageKeys = new HashSet<>();
        while (!waiting.isEmpty()) {
            WriteBatch batch = batch();
            waiting.removeIf(batch::tryBind);
            commit(batch, ++transactionCount);
            assertWithinLimits(batch, limits);
            batch.bound()
                    .forEach(b -> pageKeys.add(
                            records.bindings().pageOf(b.machine()).orElseThrow().key()));
        }
        int pageCount = pageKeys.size();
        // The number of jobs whose open entries one transaction can compare in addition to the leader key and its
        // pages. If this number is less than 60, one transaction cannot bind tasks of all jobs. Each page is written at
        // most twice, or as often as the jobs need transactions if that is more.
        int maxGuardedJobs = 4 * limits.txnOps() - 1 - limits.txnOps();
        int maxWritesPerPage = Math.max(2, (JOB_COUNT + maxGuardedJobs - 1) / maxGuardedJobs);
        int maxTransactions = maxWritesPerPage * (1 + pageCount / Math.min(records.maxPages(), limits.txnOps()));
        assertTrue(
                transactionCount <= maxTransactions,
                "at most " + maxTransactions + " transactions must suffice for " + pageCount + " pages, not "
                        + transactionCount);
        assertEquals(4 * machineCount, countBindingsRecordedOn(pageKeys, limits));
    }

    private Deque<Binding> fourBindingsPerMachine(int machineCount) {
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < JOB_COUNT; i++) {
            jobs.add(job(i, 110));
        }
        Deque<Binding> bindings = new ArrayDeque<>();
        int count = 0;
        for (int i = 0; i < machineCount; i++) {
            Machine machine = machine(i);
            for (int k = 0; k < 4; k++, count++) {
                bindings.add(binding(jobs.get(count % JOB_COUNT), count / JOB_COUNT, machine));
            }
        }
        return bindings;
    }

    private static void assertWithinLimits(WriteBatch batch, Settings.State limits) {
        assertTrue(batch.transaction().changeCount() <= limits.txnOps());
        assertTrue(batch.transaction().comparisonCount() <= 4 * limits.txnOps());
        assertTrue(
                batch.transaction().bodyBytes() <= 64 << 10,
                "the body must not exceed 64 KiB but has " + batch.transaction().bodyBytes() + " bytes");
    }

    private int countBindingsRecordedOn(Set<String> pageKeys, Settings.State limits) throws BadMessageException {
        int recordedCount = 0;
        for (Machine machine : cluster.machines()) {
            PageIndex.Page<Machine> page = records.bindings().pageOf(machine).orElseThrow();
            if (pageKeys.remove(page.key())) {
                var value = records.bindingsJson("w", page, b -> true);
                assertTrue(Json.bytes(value).length <= limits.valueKb() * 1024);
                recordedCount += BindingsRecord.read(value).stream()
                        .mapToInt(machineBindings -> machineBindings.tasks().size())
                        .sum();
            }
        }
        return recordedCount;
    }

    @Test
    void pageSizeIsComputedOnceForAllLookups() {
        int[] measurements = new int[1];
        PageIndex<Integer> pages = new PageIndex<>("p/", 100, items -> {
            measurements[0] += items.size() > 1 ? 1 : 0;
            return items.size();
        });
        for (int i = 0; i < 3000; i++) {
            pages.assign(i, pages.pageWithRoomFor(i, List.of()));
        }
        assertEquals(30, pages.pageCount());
        measurements[0] = 0;
        pages.invalidateSizes();
        for (int i = 0; i < 3000; i++) {
            pages.exceedsCapacity(pages.pageOf(i).orElseThrow());
            pages.pageWithRoomFor(i, List.of());
        }
        assertTrue(
                measurements[0] <= 31,
                "each of 30 pages must be measured only once, but there were " + measurements[0]
                        + " measurements; repeated ones" + " used more CPU time during bursts than the machine has");
    }

    @Test
    void rolledBackMoveReturnsMachineToItsPreviousPage() {
        Job job = job(1, 100_000);
        int nextTask = 0;
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            machines.add(machine(i));
            WriteBatch batch = batch();
            for (int k = 0; k < 40; k++) {
                assertTrue(batch.tryBind(binding(job, nextTask++, machines.get(i))));
            }
            commit(batch, i + 1);
        }
        Machine firstMachine = machines.get(0);
        PageIndex.Page<Machine> page = records.bindings().pageOf(firstMachine).orElseThrow();
        List<Binding> extraBindings = new ArrayList<>();
        while (!records.bindings().exceedsCapacity(page)) {
            extraBindings.add(binding(job, nextTask++, firstMachine));
            records.invalidateSizes();
        }
        WriteBatch batch = batch();
        extraBindings.forEach(b -> assertTrue(batch.tryBind(b)));
        assertNotSame(page, records.bindings().pageOf(firstMachine).orElseThrow());
        assertEquals(2, batch.transaction().changeCount(), "the transaction must write both pages");
        // The rollback must return the machine to the old page. Otherwise, the old page would list the tasks of the
        // machine forever.
        batch.rollBack();
        assertSame(page, records.bindings().pageOf(firstMachine).orElseThrow());
    }
}
