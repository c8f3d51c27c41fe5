package org.spruceridge.warmup;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
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
import org.spruceridge.config.Settings;
import org.spruceridge.net.Loop;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Entry;
import org.spruceridge.worker.WorkerHeartbeat;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;
import org.spruceridge.worker.WorkerHeartbeat.TaskState;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/** Creates the machines and jobs of the warm-up, the heartbeats of the workers, and the records for a failover. */
final class SyntheticCluster {
    static final int MACHINE_COUNT = 32;

    private static final int OPEN_JOB_COUNT = 8;
    private static final int TASKS_PER_JOB = 24;
    /** A worker reports a task as running in the second heartbeat of an attempt and as exited in later heartbeats. */
    private static final int HEARTBEATS_BEFORE_RUNNING = 1;

    private static final int HEARTBEATS_BEFORE_EXIT = 2;

    private static final String SYNTHETIC_NAME = "warm-up";
    private static final String MACHINE_ADDRESS = "10.0.0.1:9000";
    private static final String TRANSACTION_ID = "w1";
    private static final double CPUS = 4;
    private static final double MEMORY_GB = 16;
    private static final double FETCH_GB_PER_S = 1;
    private static final double PRICE = 1;
    private static final double SPOT_PRICE = 0.25;
    private static final double BOOT_S = 20;
    private static final double ESTIMATE_S = 60;

    private final Settings settings;
    private final Cluster cluster;
    private final Loop loop;
    private final long fencingToken;
    private final List<Machine> machines = new ArrayList<>();
    private final Map<Long, Integer> heartbeatsByAttempt = new HashMap<>();
    private long createdJobCount;
    private long lastSequence;

    /** Creates an instance that adds machines and jobs to {@code cluster}. Heartbeats contain {@code fencingToken}. */
    SyntheticCluster(Settings settings, Cluster cluster, Loop loop, long fencingToken) {
        this.settings = settings;
        this.cluster = cluster;
        this.loop = loop;
        this.fencingToken = fencingToken;
    }

    /** Adds machines of one type, distributed over all zones. Every second machine is a spot machine. */
    void addMachines() {
        ImmutableList<String> zones = settings.zones().isEmpty() ? ImmutableList.of(settings.zone()) : settings.zones();
        MachineType type = new MachineType(
                SYNTHETIC_NAME, new Resources(CPUS, 0, MEMORY_GB), FETCH_GB_PER_S, PRICE, SPOT_PRICE, BOOT_S, zones);
        cluster.updateMachineTypes(ImmutableMap.of(type.name(), type));
        for (int i = 0; i < MACHINE_COUNT; i++) {
            MachineKind kind = new MachineKind(type.name(), zones.get(i % zones.size()), i % 2 == 0);
            Machine machine = new Machine("i-" + i, MACHINE_ADDRESS, kind, loop.nanos(), loop.nanos());
            cluster.add(machine);
            machines.add(machine);
        }
    }

    /** Submits jobs until {@link #OPEN_JOB_COUNT} jobs are open. */
    void submitMissingJobs() {
        while (cluster.jobs().size() < OPEN_JOB_COUNT) {
            cluster.add(newJob());
        }
    }

    private Job newJob() {
        long number = ++createdJobCount;
        ImmutableList<String> teams = settings.teams().keySet().asList();
        // Every second job requests whole machines, so that the scheduler makes reservations.
        double cpus = number % 2 == 0 ? CPUS : 1;
        JobSpec spec = new JobSpec(
                "j-" + number,
                SYNTHETIC_NAME,
                teams.get((int) (number % teams.size())),
                JobKind.ARRAY,
                JobPriority.NORMAL,
                TASKS_PER_JOB,
                new Resources(cpus, 0, cpus),
                Optional.empty(),
                Optional.empty(),
                false,
                false,
                true,
                SYNTHETIC_NAME,
                1,
                ESTIMATE_S,
                0,
                0,
                OptionalDouble.of(2 * ESTIMATE_S));
        return new Job(spec, 1, loop.wallMillis());
    }

    /** Returns the next heartbeat. The workers of the machines take turns. */
    WorkerHeartbeat nextHeartbeat() {
        Machine machine = machines.get((int) (lastSequence % MACHINE_COUNT));
        ImmutableList.Builder<TaskStatus> tasks = ImmutableList.builder();
        for (Binding binding : machine.bindings()) {
            statusOf(binding).ifPresent(tasks::add);
        }
        return new WorkerHeartbeat(
                machine.name(),
                machine.address(),
                machine.kind(),
                1,
                ++lastSequence,
                fencingToken,
                OptionalDouble.empty(),
                tasks.build());
    }

    private Optional<TaskStatus> statusOf(Binding binding) {
        if (binding.stage() == Binding.Stage.PROPOSED) {
            return Optional.empty();
        }
        int heartbeats = heartbeatsByAttempt.merge(binding.attempt(), 1, Integer::sum);
        if (heartbeats > HEARTBEATS_BEFORE_EXIT) {
            return Optional.of(new TaskStatus(binding.task(), binding.attempt(), TaskState.EXITED, ExitCause.DONE));
        }
        if (heartbeats > HEARTBEATS_BEFORE_RUNNING) {
            return Optional.of(new TaskStatus(binding.task(), binding.attempt(), TaskState.RUNNING, ExitCause.NONE));
        }
        return Optional.empty();
    }

    /** The number of task attempts that were reported as exited. */
    int completedTaskCount() {
        return (int) heartbeatsByAttempt.values().stream()
                .filter(heartbeats -> heartbeats > HEARTBEATS_BEFORE_EXIT)
                .count();
    }

    /** Returns the entries with the given key prefix that the state service would contain for this cluster. */
    List<Entry> entriesWithPrefix(String prefix) {
        List<Entry> entries = new ArrayList<>();
        if (prefix.equals(StateKeys.OPEN_JOBS_PREFIX)) {
            for (Job job : cluster.jobs()) {
                JobRecord record = JobRecord.open(job.spec(), job.submittedMs());
                entries.add(new Entry(StateKeys.openJob(job.id()), record.write(), job.modRevision()));
            }
        } else if (prefix.equals(StateKeys.BINDINGS_PREFIX)) {
            entries.add(new Entry(
                    StateKeys.BINDINGS_PREFIX + 1, BindingsRecord.write(TRANSACTION_ID, machines, binding -> true), 1));
        }
        return entries;
    }
}
