package org.spruceridge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.failover.Failover;
import org.spruceridge.net.Json;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.reconciliation.HeartbeatHandler;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.schedule.Matching;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;
import org.spruceridge.sim.SimStateService;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.FencingTokens;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.worker.WorkerHeartbeat;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;
import org.spruceridge.worker.WorkerHeartbeat.TaskState;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/**
 * Runs a leader with 4,000 machines and 40,000 tasks under small limits of the state service. All tasks are bound, a
 * burst of exits is recorded, and a failover restores the state. No transaction is rejected, and no binding is lost.
 * The number of transactions, the number of allocated bytes and the heap stay within limits.
 */
final class FleetSizeTest {
    private static final int MACHINES = 4000;
    private static final int JOBS = 200;
    private static final int TASKS_PER_JOB = 200;
    private static final int TASKS = JOBS * TASKS_PER_JOB;
    /** Half of the 64 MB heap of a deployed node. A leader needs the other half for requests in progress. */
    private static final long MAX_HEAP_BYTES = 32L << 20;
    /**
     * The limit for a cycle on a full cluster. A cycle over all pairs of a job and a machine would allocate about a
     * hundred times as much.
     */
    private static final long MAX_CYCLE_ALLOCATION_BYTES = 4L << 20;

    private static final Settings SETTINGS = Fixtures.fleetSettings();

    private final SimLoop loop = new SimLoop();
    private final SimStateService state = new SimStateService(loop, Fixtures.FLEET_TRANSACTION_OPERATIONS, 1000);
    private final Matching matching = new Matching(
            SETTINGS,
            Policy.defaults(),
            BindingsRecord.maxBindingsPerMachine(SETTINGS.state().recordKb()));
    private long leaderRevision;

    /**
     * The components of a leader for one term. HTTP requests go directly to the simulated state service, without a
     * network.
     */
    private final class LeaderComponents {
        private final LeaderContext context;
        private final Cluster cluster;
        private final StateClient client;
        private final RecordWriter recordWriter;
        private final HeartbeatHandler heartbeatHandler;
        private final SchedulingLoop schedulingLoop;

        LeaderComponents(long term) {
            context = Fixtures.fleetLeaderContext(loop, new LeaderTerm(term, leaderRevision, loop.nanos()));
            cluster = context.cluster();
            cluster.updateMachineTypes(ImmutableMap.of(
                    "t4",
                    new MachineType("t4", new Resources(4, 0, 16), 1, 0.2, 0.06, 20, ImmutableList.of("a", "b"))));
            client = Fixtures.fleetStateClient(context, Fixtures.directClient(loop, state));
            recordWriter = new RecordWriter(context, client, new Listener());
            heartbeatHandler = new HeartbeatHandler(
                    context, new FencingTokens(context, client), recordWriter, machine -> requestCycle());
            schedulingLoop = new SchedulingLoop(context, recordWriter, matching, machine -> {}, reason -> {
                throw new AssertionError(reason);
            });
        }

        private void requestCycle() {
            schedulingLoop.request();
        }

        private final class Listener implements RecordWriter.Listener {
            @Override
            public void onCommitted(ImmutableSet<Machine> bound) {
                requestCycle();
            }

            @Override
            public void onJobCancelled(Job job) {
                throw new AssertionError(job.id());
            }

            @Override
            public void onWriteFailed(String reason) {
                throw new AssertionError(reason);
            }
        }

        long countBindings(Predicate<Binding> predicate) {
            return cluster.machines().stream()
                    .flatMap(m -> m.bindings().stream())
                    .filter(predicate)
                    .count();
        }

        long countCommittedBindings() {
            return countBindings(b -> b.stage() == Binding.Stage.COMMITTED);
        }
    }

    private void addJobsAndMachines(LeaderComponents leader) {
        for (int i = 0; i < JOBS; i++) {
            Job draft = new Job(
                    Fixtures.spec(
                            String.format("j-%06d", i),
                            JobPriority.NORMAL,
                            TASKS_PER_JOB,
                            new Resources(0.4, 0, 1),
                            60,
                            0,
                            OptionalDouble.empty()),
                    1,
                    loop.wallMillis());
            var record = JobRecord.open(draft.spec(), draft.submittedMs()).write();
            long modRevision = state.put(StateKeys.openJob(draft.id()), record);
            leader.cluster.add(new Job(draft.spec(), modRevision, draft.submittedMs()));
        }
        for (int i = 0; i < MACHINES; i++) {
            Machine machine = new Machine(
                    String.format("i-%06d", i),
                    "",
                    new MachineKind("t4", i % 2 == 0 ? "a" : "b", i % 3 == 0),
                    loop.nanos(),
                    loop.nanos());
            machine.recordHeartbeat(1, 1, "", loop.nanos());
            machine.fencing().fence();
            leader.cluster.add(machine);
        }
    }

    /**
     * Handles one heartbeat of each machine. The heartbeat reports the machine's first task as exited and all its other
     * tasks as running.
     */
    private void sendBurstOfExits(LeaderComponents leader) {
        for (Machine machine : List.copyOf(leader.cluster.machines())) {
            List<TaskStatus> tasks = new ArrayList<>();
            for (Binding binding : machine.bindings()) {
                boolean hasExited = tasks.isEmpty();
                tasks.add(new TaskStatus(
                        binding.task(),
                        binding.attempt(),
                        hasExited ? TaskState.EXITED : TaskState.RUNNING,
                        hasExited ? ExitCause.DONE : ExitCause.NONE));
            }
            leader.heartbeatHandler.handle(new WorkerHeartbeat(
                    machine.name(),
                    "",
                    machine.kind(),
                    1,
                    2,
                    leader.context.term().term(),
                    OptionalDouble.empty(),
                    ImmutableList.copyOf(tasks)));
        }
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private int pageCount() {
        return state.keys(StateKeys.BINDINGS_PREFIX).size()
                + state.keys(StateKeys.FINISHED_TASKS_PREFIX).size();
    }

    @Test
    void leaderServesFourThousandMachinesWithinLimits() {
        state.lowerLimits(Fixtures.FLEET_VALUE_KB, Fixtures.FLEET_TRANSACTION_OPERATIONS, 100);
        leaderRevision = state.put(StateKeys.LEADER, Json.object());
        LeaderComponents firstLeader = leaderWithAllTasksBound();
        assertBurstOfExitsIsRecorded(firstLeader);
        assertCycleAllocatesLittle(firstLeader);
        assertFailoverRestoresState();
    }

    private LeaderComponents leaderWithAllTasksBound() {
        long heapBefore = usedHeapBytes();
        LeaderComponents leader = new LeaderComponents(1);
        addJobsAndMachines(leader);
        leader.schedulingLoop.request();
        for (int second = 0; second < 120 && leader.countCommittedBindings() < TASKS; second++) {
            loop.run(1);
        }
        assertEquals(TASKS, leader.countCommittedBindings(), "the binding of every task must be committed");
        assertEquals(0, state.rejectedTransactionCount());
        // Each write of a page contains all pending changes of the page, so a page is written only a few times.
        assertTrue(
                state.transactionCount() <= 4 * pageCount(),
                "there must be at most 4 transactions per page: " + state.transactionCount() + " transactions, "
                        + pageCount() + " pages");
        assertTrue(
                usedHeapBytes() - heapBefore < MAX_HEAP_BYTES,
                "the heap growth must stay below the limit; growth in bytes: " + (usedHeapBytes() - heapBefore));
        return leader;
    }

    private void assertBurstOfExitsIsRecorded(LeaderComponents leader) {
        int transactionsBefore = state.transactionCount();
        sendBurstOfExits(leader);
        for (int second = 0; second < 60 && leader.recordWriter.backlog() > 0; second++) {
            loop.run(1);
        }
        assertEquals(
                TASKS - MACHINES,
                leader.countCommittedBindings(),
                "the bindings of all tasks that did not exit must stay committed");
        int burstTransactions = state.transactionCount() - transactionsBefore;
        assertTrue(
                burstTransactions <= 4 * pageCount(),
                "the burst must cause at most 4 transactions per page: " + burstTransactions + " transactions, "
                        + pageCount() + " pages");
    }

    private void assertCycleAllocatesLittle(LeaderComponents leader) {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
        matching.plan(leader.cluster, loop.nanos(), loop.wallMillis());
        long allocatedBytes = threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
        assertTrue(
                allocatedBytes < MAX_CYCLE_ALLOCATION_BYTES,
                "a cycle must allocate less than the limit; bytes per cycle: " + allocatedBytes);
    }

    private void assertFailoverRestoresState() {
        LeaderComponents secondLeader = new LeaderComponents(2);
        boolean[] completed = new boolean[1];
        new Failover(secondLeader.context, secondLeader.client, secondLeader.recordWriter.records())
                .start(new Failover.Listener() {
                    @Override
                    public void openJobsLoaded(long asOfNanos) {}

                    @Override
                    public void completed(long revision) {
                        completed[0] = true;
                    }
                });
        loop.run(10);
        assertTrue(completed[0], "the failover must complete");
        assertEquals(
                TASKS - MACHINES,
                secondLeader.countCommittedBindings(),
                "the second leader must load all committed bindings");
        assertEquals(
                MACHINES,
                secondLeader.cluster.jobs().stream().mapToInt(Job::doneCount).sum(),
                "the second leader must load all completed tasks");
        assertEquals(0, state.rejectedTransactionCount());
    }

    /** The attempt counter of a term has 24 bits. The leader resigns before the counter overflows. */
    @Test
    void leaderResignsBeforeAttemptNumbersRunOut() {
        leaderRevision = state.put(StateKeys.LEADER, Json.object());
        LeaderComponents leader = new LeaderComponents(1);
        addJobsAndMachines(leader);
        List<String> resignReasons = new ArrayList<>();
        SchedulingLoop schedulingLoop =
                new SchedulingLoop(leader.context, leader.recordWriter, matching, machine -> {}, resignReasons::add);
        schedulingLoop.recordAttemptsUsed(AttemptNumbers.MAX_PER_TERM - 10);
        schedulingLoop.request();
        loop.run(1);
        assertEquals(1, resignReasons.size());
        assertEquals(0, leader.countBindings(b -> true));
    }
}
