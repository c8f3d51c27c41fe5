package org.spruceridge.warmup;

import com.google.common.collect.ImmutableSet;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.dispatch.SchedulingLoop;
import org.spruceridge.failover.Failover;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Json;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.ManualLoop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter;
import org.spruceridge.persistence.RecordPages;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.reconciliation.HeartbeatHandler;
import org.spruceridge.reconciliation.HeartbeatReply;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.schedule.Matching;
import org.spruceridge.state.InProcessStateService;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.FencingTokens;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderMetrics;
import org.spruceridge.term.LeaderServices;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.FeatureLevel;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;

/**
 * A leader of a {@link SyntheticCluster} that uses virtual time and an in-process stub of the state service. Each step
 * handles some worker heartbeats completely: decoding, scheduling, writing records and encoding the response. The
 * synthetic leader shares no state with the node.
 */
final class SyntheticLeader {
    private static final int HEARTBEATS_PER_STEP = 4;
    private static final int STEPS_PER_FAILOVER = 8;
    private static final long FAILOVER_DURATION_NANOS = Durations.millis(1);
    private static final long TERM = 1;
    private static final double UNLIMITED_RATE = 1e6;

    private final ManualLoop loop = new ManualLoop();
    private final Settings settings;
    private final LeaderContext context;
    private final SyntheticCluster cluster;
    private final StateClient state;
    private final HeartbeatHandler heartbeatHandler;
    private final SchedulingLoop schedulingLoop;
    private int completedStepCount;

    SyntheticLeader(Settings settings, Policy policy) {
        this.settings = settings;
        LeaderServices services =
                new LeaderServices(loop, new RateLimitedWarnings(loop), new Latencies(loop), new LeaderMetrics());
        this.context = LeaderContext.forNewTerm(services, settings, policy, new LeaderTerm(TERM, 1, 0), () -> true);
        this.cluster = new SyntheticCluster(settings, context.cluster(), loop, TERM);
        this.state = new StateClient(
                loop,
                new InProcessStateService(loop, cluster::entriesWithPrefix),
                settings.stateAddress(),
                new RateLimiter(loop, UNLIMITED_RATE, UNLIMITED_RATE, UNLIMITED_RATE),
                context.warnings(),
                context.latencies());
        RecordWriter recordWriter = new RecordWriter(context, state, new WriteListener());
        this.heartbeatHandler = new HeartbeatHandler(
                context, new FencingTokens(context, state), recordWriter, machine -> requestCycle());
        Matching matching = new Matching(
                settings,
                policy,
                BindingsRecord.maxBindingsPerMachine(settings.state().recordKb()));
        this.schedulingLoop = new SchedulingLoop(context, recordWriter, matching, machine -> {}, reason -> {});
        cluster.addMachines();
    }

    private final class WriteListener implements RecordWriter.Listener {
        @Override
        public void onCommitted(ImmutableSet<Machine> bound) {
            requestCycle();
        }

        @Override
        public void onJobCancelled(Job job) {
            throw new IllegalStateException("no job of the warm-up is cancelled, job=" + job.id());
        }

        @Override
        public void onWriteFailed(String reason) {
            throw new IllegalStateException(reason);
        }
    }

    private void requestCycle() {
        schedulingLoop.request();
    }

    /** Handles a small number of heartbeats and advances the virtual time. All steps take about the same time. */
    void step() {
        cluster.submitMissingJobs();
        for (int i = 0; i < HEARTBEATS_PER_STEP; i++) {
            handle(cluster.nextHeartbeat());
        }
        loop.advance(Durations.nanos(
                settings.workers().heartbeatIntervalS() * HEARTBEATS_PER_STEP / SyntheticCluster.MACHINE_COUNT));
        if (++completedStepCount % STEPS_PER_FAILOVER == 0) {
            failOver();
        }
    }

    /** The number of task attempts that were reported as exited. */
    int completedTaskCount() {
        return cluster.completedTaskCount();
    }

    /** Decodes a heartbeat from bytes, handles it, and encodes the response. */
    private void handle(WorkerHeartbeat heartbeat) {
        try {
            WorkerHeartbeat decoded = WorkerHeartbeat.read(Json.bytes(heartbeat.toJson()));
            HeartbeatReply reply = heartbeatHandler.handle(decoded);
            WorkerCommand.heartbeatResponse(reply.fencingToken(), reply.commands());
        } catch (BadMessageException e) {
            throw new IllegalStateException("the warm-up's own heartbeat cannot be read", e);
        }
    }

    private void failOver() {
        RecordPages records = new RecordPages(settings.state(), FeatureLevel.SUPPORTED);
        new Failover(context.withCluster(new Cluster()), state, records).start(new Failover.Listener() {
            @Override
            public void openJobsLoaded(long asOfNanos) {}

            @Override
            public void completed(long revision) {}
        });
        loop.advance(FAILOVER_DURATION_NANOS);
    }
}
