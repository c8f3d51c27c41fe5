package org.spruceridge.warmup;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobKind;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
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
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.schedule.Matching;
import org.spruceridge.state.Entry;
import org.spruceridge.state.InProcessStateService;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderMetrics;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.FeatureLevel;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;
import org.spruceridge.worker.WorkerHeartbeat.TaskState;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/**
 * A leader of a small cluster that exists only in here, on virtual time and with a state service within the process. Each
 * step lets some workers report and does what a leader does then: it decodes, schedules, records and answers. Nothing
 * of it is shared with the node's own state.
 */
final class SyntheticLeader {
    private static final int MACHINES = 32;
    private static final int JOBS = 8;
    private static final int TASKS_PER_JOB = 24;
    private static final int HEARTBEATS_PER_STEP = 4;
    private static final int STEPS_PER_FAILOVER = 8;
    private static final long TERM = 1;
    private static final double CPUS = 4;
    private static final double MEMORY_GB = 16;
    private static final double ESTIMATE_S = 60;
    private static final double PLENTY = 1e6;

    private final ManualLoop loop = new ManualLoop();
    private final Settings settings;
    private final LeaderContext context;
    private final Cluster cluster;
    private final List<Machine> machines = new ArrayList<>();
    private final Map<Long, Integer> reportsOfAttempt = new HashMap<>();
    private final StateClient state;
    private final RecordWriter recordWriter;
    private final HeartbeatHandler heartbeatHandler;
    private final SchedulingLoop schedulingLoop;
    private long jobs;
    private long sequence;
    private int steps;

    SyntheticLeader(Settings settings, Policy policy) {
        this.settings = settings;
        this.context = LeaderContext.begin(
                loop,
                settings,
                policy,
                new LeaderTerm(TERM, 1, 0),
                () -> true,
                new RateLimitedWarnings(loop),
                new Latencies(loop),
                new LeaderMetrics());
        this.cluster = context.cluster();
        this.state = new StateClient(
                loop,
                new InProcessStateService(loop, this::recorded),
                settings.stateAddress(),
                new RateLimiter(loop, PLENTY, PLENTY, PLENTY),
                context.warnings(),
                context.latencies());
        this.recordWriter = new RecordWriter(context, state, new RecordWriter.Listener() {
            @Override
            public void onCommitted(ImmutableSet<Machine> bound) {
                requestCycle();
            }

            @Override
            public void onJobCancelled(Job job) {
                throw new IllegalStateException("nobody cancels " + job.id());
            }

            @Override
            public void onWriteFailed(String reason) {
                throw new IllegalStateException(reason);
            }
        });
        this.heartbeatHandler = new HeartbeatHandler(context, recordWriter, machine -> requestCycle());
        Matching matching = new Matching(
                settings,
                policy,
                BindingsRecord.maxBindingsPerMachine(settings.state().recordKb()));
        this.schedulingLoop = new SchedulingLoop(context, recordWriter, matching, machine -> {}, why -> {});
        addMachines();
    }

    private void requestCycle() {
        schedulingLoop.request();
    }

    private void addMachines() {
        ImmutableList<String> zones = settings.zones().isEmpty() ? ImmutableList.of(settings.zone()) : settings.zones();
        MachineType type = new MachineType("warm-up", new Resources(CPUS, 0, MEMORY_GB), 1, 1, 0.25, 20, zones);
        cluster.updateTypes(ImmutableMap.of(type.name(), type));
        for (int i = 0; i < MACHINES; i++) {
            MachineKind kind = new MachineKind(type.name(), zones.get(i % zones.size()), i % 2 == 0);
            Machine machine = new Machine("i-" + i, "10.0.0.1:9000", kind, loop.nanos(), loop.nanos());
            cluster.add(machine);
            machines.add(machine);
        }
    }

    /** Does a small part of the work; each costs about the same. */
    void step() {
        while (cluster.jobs().size() < JOBS) {
            cluster.add(newJob());
        }
        for (int i = 0; i < HEARTBEATS_PER_STEP; i++) {
            heartbeat(machines.get((int) (sequence % MACHINES)));
        }
        loop.advance(Durations.nanos(settings.workers().heartbeatIntervalS() * HEARTBEATS_PER_STEP / MACHINES));
        if (++steps % STEPS_PER_FAILOVER == 0) {
            failOver();
        }
    }

    /** Tasks that completed so far. */
    int completed() {
        return (int) reportsOfAttempt.values().stream().filter(n -> n > 2).count();
    }

    private Job newJob() {
        long number = ++jobs;
        // Every other job asks for whole machines, so that reservations are made.
        double cpus = number % 2 == 0 ? CPUS : 1;
        JobSpec spec = new JobSpec(
                "j-" + number,
                "warm-up",
                settings.teams().keySet().asList().get((int)
                        (number % settings.teams().size())),
                JobKind.ARRAY,
                JobPriority.NORMAL,
                TASKS_PER_JOB,
                new Resources(cpus, 0, cpus),
                Optional.empty(),
                Optional.empty(),
                false,
                false,
                true,
                "warm-up",
                1,
                ESTIMATE_S,
                0,
                0,
                OptionalDouble.of(2 * ESTIMATE_S));
        return new Job(spec, 1, loop.wallMillis());
    }

    /** Takes a report from its bytes and makes the bytes of its answer. */
    private void heartbeat(Machine machine) {
        ImmutableList.Builder<TaskStatus> tasks = ImmutableList.builder();
        for (Binding b : machine.bindings()) {
            int seen = b.stage() == Binding.Stage.PROPOSED ? 0 : reportsOfAttempt.merge(b.attempt(), 1, Integer::sum);
            if (seen > 2) {
                tasks.add(new TaskStatus(b.task(), b.attempt(), TaskState.EXITED, ExitCause.DONE));
            } else if (seen > 1) {
                tasks.add(new TaskStatus(b.task(), b.attempt(), TaskState.RUNNING, ExitCause.NONE));
            }
        }
        WorkerHeartbeat heartbeat = new WorkerHeartbeat(
                machine.name(),
                machine.address(),
                machine.kind(),
                1,
                ++sequence,
                TERM,
                OptionalDouble.empty(),
                tasks.build());
        try {
            WorkerCommand.answer(TERM, heartbeatHandler.handle(WorkerHeartbeat.read(Json.bytes(heartbeat.toJson()))));
        } catch (BadMessageException e) {
            throw new IllegalStateException("our own report cannot be read", e);
        }
    }

    private void failOver() {
        Failover failover = new Failover(
                context.with(new Cluster()), state, new RecordPages(settings.state(), FeatureLevel.SUPPORTED));
        failover.start(new Failover.Listener() {
            @Override
            public void openJobsLoaded(long asOfNanos) {}

            @Override
            public void completed(long revision) {}
        });
        loop.advance(Durations.millis(1));
    }

    /** What the state service would hold of this cluster. */
    private List<Entry> recorded(String prefix) {
        List<Entry> entries = new ArrayList<>();
        if (prefix.equals(StateKeys.OPEN_JOBS_PREFIX)) {
            for (Job job : cluster.jobs()) {
                JobRecord record = JobRecord.open(job.spec(), job.submittedMs());
                entries.add(new Entry(StateKeys.openJob(job.id()), record.write(), job.modRevision()));
            }
        } else if (prefix.equals(StateKeys.BINDINGS_PREFIX)) {
            entries.add(new Entry(StateKeys.BINDINGS_PREFIX + 1, BindingsRecord.write("w1", machines, b -> true), 1));
        }
        return entries;
    }
}
