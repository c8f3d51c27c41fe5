package org.spruceridge.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.config.Policy;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Json;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.reconciliation.HeartbeatHandler;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;
import org.spruceridge.sim.SimStateService;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.FencingTokens;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderMetrics;
import org.spruceridge.term.LeaderServices;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.worker.WorkerClient;
import org.spruceridge.worker.WorkerHeartbeat;

/** A suspect machine is probed until it responds, also if the leader may send nothing for a while. */
final class SuspectMachineProbeTest {
    private static final long TERM = 7;
    /** The interval of probes to a machine that does not respond: a quarter of the lease, plus as long for the timeout. */
    private static final double PROBE_INTERVAL_S = 11;

    private final SimLoop loop = new SimLoop();
    private final SimStateService state = new SimStateService(loop, Fixtures.FLEET_TRANSACTION_OPERATIONS, 1000);
    private final Machine machine = new Machine("i-1", "10.1.0.1:9000", new MachineKind("t8", "a", false), 0, 0);
    private boolean isLeader = true;
    private boolean machineResponds;
    private int probeCount;
    private CommandSender sender;

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

    @BeforeEach
    void startTermWithSuspectMachine() {
        LeaderContext context = LeaderContext.forNewTerm(
                new LeaderServices(loop, new RateLimitedWarnings(loop), new Latencies(loop), new LeaderMetrics()),
                Fixtures.fleetSettings(),
                Policy.defaults(),
                new LeaderTerm(TERM, 1, 0),
                () -> isLeader);
        StateClient client = Fixtures.fleetStateClient(context, Fixtures.directClient(loop, state));
        FencingTokens fencingTokens = new FencingTokens(context, client);
        RecordWriter recordWriter = new RecordWriter(context, client, new NoWritesExpected());
        HeartbeatHandler handler = new HeartbeatHandler(context, fencingTokens, recordWriter, m -> {});
        WorkerClient workers = new WorkerClient(workerHttp(), context.warnings());
        sender = new CommandSender(context, fencingTokens, workers, handler, () -> {});
        machine.recordHeartbeat(1, 1, machine.address(), loop.nanos());
        machine.recordHeartbeat(2, 2, machine.address(), loop.nanos());
        context.cluster().add(machine);
        assertTrue(machine.suspicion().isSuspect());
    }

    private HttpClient workerHttp() {
        return (to, call, timeoutNanos, onComplete) -> {
            probeCount++;
            return machineResponds
                    ? loop.after(Durations.millis(5), () -> onComplete.accept(new HttpAnswer(200, status())))
                    : loop.after(timeoutNanos, () -> onComplete.accept(HttpAnswer.noResponse()));
        };
    }

    private byte[] status() {
        return Json.bytes(new WorkerHeartbeat(
                        machine.name(),
                        machine.address(),
                        machine.kind(),
                        2,
                        2 + probeCount,
                        TERM,
                        OptionalDouble.empty(),
                        ImmutableList.of())
                .toJson());
    }

    @Test
    void suspectMachineIsProbedUntilItResponds() {
        sender.probe(machine);
        loop.run(3 * PROBE_INTERVAL_S);
        assertTrue(probeCount >= 3);
        machineResponds = true;
        loop.run(2 * PROBE_INTERVAL_S);
        assertFalse(machine.suspicion().isSuspect());
        int probesBefore = probeCount;
        loop.run(10 * PROBE_INTERVAL_S);
        assertEquals(probesBefore, probeCount);
    }

    /** Guards against a machine that stays suspect because the leader lease was in doubt when a probe was due. */
    @Test
    void probesContinueAfterLeaderLeaseWasInDoubt() {
        sender.probe(machine);
        loop.run(1);
        isLeader = false;
        loop.run(3 * PROBE_INTERVAL_S);
        assertEquals(1, probeCount, "nothing may be sent while the leader lease is in doubt");
        isLeader = true;
        machineResponds = true;
        loop.run(PROBE_INTERVAL_S);
        assertFalse(machine.suspicion().isSuspect());
    }

    /** Guards against more and more probes of one machine. */
    @Test
    void repeatedRequestsToProbeStartOneSeries() {
        for (int i = 0; i < 5; i++) {
            sender.probe(machine);
        }
        loop.run(PROBE_INTERVAL_S);
        int probesBefore = probeCount;
        loop.run(10 * PROBE_INTERVAL_S);
        assertTrue(probeCount - probesBefore <= 11);
    }
}
