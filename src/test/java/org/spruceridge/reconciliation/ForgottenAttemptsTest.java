package org.spruceridge.reconciliation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Json;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.record.StateKeys;
import org.spruceridge.record.TermRecord;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;
import org.spruceridge.sim.SimStateService;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.FencingTokens;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;
import org.spruceridge.worker.WorkerHeartbeat.TaskState;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/**
 * Tests that the heartbeats of workers do not become longer, nor much more frequent, during a long term with 4,000
 * machines, although a worker may not forget an exited attempt that a duplicate of its start command could start.
 */
final class ForgottenAttemptsTest {
    private static final int MACHINES = 4_000;
    private static final int TERM_DURATION_S = 20 * 60;
    private static final int HEARTBEAT_INTERVAL_S = 5;
    private static final int LEASE_S = 22;
    private static final long HALF_LEASE_NANOS = Durations.nanos(LEASE_S / 2.0);
    private static final MachineKind KIND = new MachineKind("t8", "a", false);

    private final SimLoop loop = new SimLoop();
    private final SimStateService state = new SimStateService(loop, Fixtures.FLEET_TRANSACTION_OPERATIONS, 1000);
    private final List<Worker> workers = new ArrayList<>();
    private LeaderContext context;
    private FencingTokens fencingTokens;
    private HeartbeatHandler heartbeatHandler;
    private long attemptCount;
    private int maxListedAttempts;
    private int announcementCount;

    private static final class NoWritesExpected implements RecordWriter.Listener {
        @Override
        public void onCommitted(ImmutableSet<Machine> bound) {}

        @Override
        public void onJobCancelled(Job job) {
            throw new AssertionError(job.id());
        }

        @Override
        public void onWriteFailed(String reason) {
            throw new AssertionError(reason);
        }
    }

    /** A worker whose tasks exit as soon as they are started. Its bindings have already been released. */
    private final class Worker {
        private final Machine machine;
        private final Set<Long> exitedAttempts = new LinkedHashSet<>();
        private long sequence;
        private long fencingToken = context.term().term();
        private long announcedAt = -HALF_LEASE_NANOS;

        Worker(String name) {
            machine = new Machine(name, "", KIND, loop.nanos(), loop.nanos());
            context.cluster().add(machine);
        }

        void executeDirectStart() {
            long attempt = ++attemptCount;
            machine.startCommands().recordDirectStartSent(attempt, fencingTokens.current(machine));
            machine.startCommands().recordDirectStartResolved(attempt);
            exitedAttempts.add(attempt);
        }

        void sendHeartbeat() {
            maxListedAttempts = Math.max(maxListedAttempts, exitedAttempts.size());
            HeartbeatReply reply = heartbeatHandler.handle(heartbeat());
            reply.commands().stream()
                    .filter(command -> command.verb() == WorkerCommand.Verb.FORGET)
                    .forEach(command -> exitedAttempts.remove(command.attempt()));
            if (reply.fencingToken() > fencingToken) {
                fencingToken = reply.fencingToken();
                announceToken();
            }
        }

        private void announceToken() {
            if (loop.nanos() - announcedAt >= HALF_LEASE_NANOS) {
                announcedAt = loop.nanos();
                announcementCount++;
                sendHeartbeat();
            }
        }

        private WorkerHeartbeat heartbeat() {
            ImmutableList<TaskStatus> statuses = exitedAttempts.stream()
                    .map(attempt ->
                            new TaskStatus(new TaskId("j-000001", 0), attempt, TaskState.EXITED, ExitCause.DONE))
                    .collect(ImmutableList.toImmutableList());
            return new WorkerHeartbeat(
                    machine.name(), "", KIND, 1, ++sequence, fencingToken, OptionalDouble.empty(), statuses);
        }
    }

    @BeforeEach
    void startTerm() {
        long leaderRevision = state.put(StateKeys.LEADER, Json.object());
        state.put(StateKeys.TERM, TermRecord.FIRST.write());
        context = Fixtures.fleetLeaderContext(loop, new LeaderTerm(1, leaderRevision, loop.nanos()));
        StateClient client = Fixtures.fleetStateClient(context, Fixtures.directClient(loop, state));
        fencingTokens = new FencingTokens(context, client);
        RecordWriter recordWriter = new RecordWriter(context, client, new NoWritesExpected());
        heartbeatHandler = new HeartbeatHandler(context, fencingTokens, recordWriter, machine -> {});
        for (int i = 0; i < MACHINES; i++) {
            workers.add(new Worker(String.format("i-%06d", i)));
        }
    }

    @Test
    void heartbeatsStayShortDuringLongTerm() {
        for (int second = 0; second < TERM_DURATION_S; second += HEARTBEAT_INTERVAL_S) {
            workers.forEach(Worker::executeDirectStart);
            workers.forEach(Worker::sendHeartbeat);
            loop.run(HEARTBEAT_INTERVAL_S);
        }
        int exitsPerLease = LEASE_S / HEARTBEAT_INTERVAL_S + 1;
        assertTrue(
                maxListedAttempts <= exitsPerLease,
                "a heartbeat listed " + maxListedAttempts + " exited attempts, more than exit within one lease");
        int halfLeases = TERM_DURATION_S * 2 / LEASE_S + 1;
        assertTrue(
                announcementCount <= halfLeases * MACHINES,
                announcementCount + " extra heartbeats are more than one per machine and half of a lease");
        assertTrue(state.transactionCount() <= 1 + halfLeases / 64, "reservations: " + state.transactionCount());
    }

    /** A worker that exits many short tasks at once must not list them for half of a lease. */
    @Test
    void manyExitedAttemptsAreForgottenAtOnce() {
        Worker worker = workers.get(0);
        worker.executeDirectStart();
        worker.sendHeartbeat();
        loop.run(1);
        for (int round = 0; round < 20; round++) {
            for (int i = 0; i < 100; i++) {
                worker.executeDirectStart();
            }
            worker.sendHeartbeat();
            loop.run(HEARTBEAT_INTERVAL_S);
        }
        assertTrue(maxListedAttempts <= 4 * 100, "listed: " + maxListedAttempts);
        worker.sendHeartbeat();
        loop.run(LEASE_S);
        worker.sendHeartbeat();
        worker.sendHeartbeat();
        assertEquals(0, worker.exitedAttempts.size());
    }
}
