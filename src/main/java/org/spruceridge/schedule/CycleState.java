package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;

/**
 * The working copy of the cluster state in one scheduling cycle: the free capacity of machines, the quota usage of
 * teams, and the zones and machines that each job occupies. The working copy counts existing bindings and the
 * placements that the cycle has made so far. The cycle reads the cluster but does not change it.
 */
final class CycleState {
    /** A machine gets no tasks if its last heartbeat is older than this number of heartbeat intervals. */
    private static final double MAX_HEARTBEAT_AGE_INTERVALS = 2.5;

    private final Cluster cluster;
    private final Settings settings;
    private final int maxBindingsPerMachine;
    private final long now;
    private final List<MachineKind> kinds = new ArrayList<>();
    private final List<MachineCapacity> machines = new ArrayList<>();
    private final List<MachineCapacity> cordonedMachines = new ArrayList<>();
    private final int schedulableKindCount;
    private final TeamQuotas quotas;
    private final ZoneConstraints zoneConstraints = new ZoneConstraints();
    private final Map<Job, Map<Machine, Integer>> replicaCounts = new HashMap<>();

    /**
     * {@code maxBindingsPerMachine} is the number of bindings that the record of one machine can hold. {@code now} is
     * on the monotonic clock, in nanoseconds.
     */
    CycleState(Cluster cluster, Settings settings, int maxBindingsPerMachine, long now) {
        this.cluster = cluster;
        this.settings = settings;
        this.maxBindingsPerMachine = maxBindingsPerMachine;
        this.now = now;
        this.quotas = new TeamQuotas(cluster, settings);
        Map<MachineKind, Integer> kindIndexes = new HashMap<>();
        addMachines(machines, false, kindIndexes);
        this.schedulableKindCount = kinds.size();
        addMachines(cordonedMachines, true, kindIndexes);
    }

    private void addMachines(List<MachineCapacity> target, boolean cordoned, Map<MachineKind, Integer> kindIndexes) {
        for (Machine machine : cluster.machines()) {
            MachineType type = cluster.machineTypes().get(machine.type());
            if (type != null && machine.taskFailures().isCordoned() == cordoned && isUsable(machine)) {
                int kindIndex = kindIndexes.computeIfAbsent(machine.kind(), this::addKind);
                target.add(new MachineCapacity(machine, type, kindIndex));
            }
        }
    }

    private int addKind(MachineKind kind) {
        kinds.add(kind);
        return kinds.size() - 1;
    }

    /** True if the machine is schedulable but for a cordon. */
    private boolean isUsable(Machine machine) {
        double heartbeatAgeS = Durations.secondsSince(machine.lease().lastHeartbeat(), now);
        return machine.fencing().isFenced()
                && !machine.isTerminating()
                && !machine.isBlocked()
                && heartbeatAgeS
                        < MAX_HEARTBEAT_AGE_INTERVALS * settings.workers().heartbeatIntervalS();
    }

    /** All schedulable machines, in the cluster's order. */
    List<MachineCapacity> machines() {
        return machines;
    }

    /** The machines that are schedulable but for their cordon, in the cluster's order. */
    List<MachineCapacity> cordonedMachines() {
        return cordonedMachines;
    }

    /** All machines of the cluster. */
    Iterable<Machine> clusterMachines() {
        return cluster.machines();
    }

    /** The boot time of this kind of machine in seconds; 0 while its type is unknown. */
    double bootS(MachineKind kind) {
        MachineType type = cluster.machineTypes().get(kind.type());
        return type == null ? 0 : type.bootS();
    }

    Settings.Workers workers() {
        return settings.workers();
    }

    TeamQuotas quotas() {
        return quotas;
    }

    /** The start of the cycle on the monotonic clock, in nanoseconds. */
    long now() {
        return now;
    }

    /** Returns the jobs that have waiting tasks and whose retry delay has passed, in the cluster's order. */
    Map<Job, WaitingJob> waitingJobs(long wallMs) {
        Map<Job, WaitingJob> waiting = new LinkedHashMap<>();
        for (Job job : cluster.jobs()) {
            if (job.waitingCount() > 0 && job.retryAfter() <= now) {
                waiting.put(job, new WaitingJob(Candidate.waiting(job, now, wallMs), allowedKinds(job.spec())));
            }
        }
        return waiting;
    }

    private boolean[] allowedKinds(JobSpec spec) {
        boolean[] allowed = new boolean[kinds.size()];
        for (int i = 0; i < allowed.length; i++) {
            MachineKind kind = kinds.get(i);
            allowed[i] = spec.taskResources()
                            .fitsIn(cluster.machineTypes().get(kind.type()).capacity())
                    && spec.allows(kind.type(), kind.zone(), kind.spot());
        }
        return allowed;
    }

    /** Returns the schedulable machines, grouped by the properties that determine their scores. */
    Map<MachineGroup, GroupCapacity> groups() {
        double[] prices = new double[schedulableKindCount];
        double highestPrice = 0;
        for (int i = 0; i < prices.length; i++) {
            MachineKind kind = kinds.get(i);
            MachineType type = cluster.machineTypes().get(kind.type());
            prices[i] = type.price(kind.spot()) / type.capacity().cpus();
            highestPrice = Math.max(highestPrice, prices[i]);
        }
        Map<MachineGroup, GroupCapacity> groups = new LinkedHashMap<>();
        for (MachineCapacity capacity : machines) {
            int kindIndex = capacity.kindIndex();
            double relativePrice = highestPrice > 0 ? prices[kindIndex] / highestPrice : 1;
            MachineGroup group = new MachineGroup(kinds.get(kindIndex), relativePrice, capacity.fullness());
            groups.computeIfAbsent(group, g -> new GroupCapacity(kindIndex)).add(capacity);
        }
        return groups;
    }

    /**
     * Returns whether a task of the job is permitted on the machine (the Minimal requirements heuristic of the paper).
     * The free capacity of the machine is not checked.
     */
    boolean isEligible(WaitingJob waiting, MachineCapacity capacity) {
        return canRunOn(waiting, capacity)
                && zoneConstraints.allows(waiting.job(), capacity.machine().zone());
    }

    /**
     * Returns whether a task of the job is permitted on the machine and has room there, whatever tasks failed on the
     * machine before.
     */
    boolean isEligibleDespiteFailures(WaitingJob waiting, MachineCapacity capacity) {
        return isPermitted(waiting, capacity)
                && capacity.fits(waiting.job().spec().taskResources())
                && zoneConstraints.allows(waiting.job(), capacity.machine().zone());
    }

    /** Returns the number of replicas of a service on a machine, including the placements of this cycle. */
    int countReplicasOn(Machine machine, Job service) {
        return replicaCounts(service).getOrDefault(machine, 0);
    }

    private Map<Machine, Integer> replicaCounts(Job service) {
        return replicaCounts.computeIfAbsent(service, CycleState::countReplicasByMachine);
    }

    private static Map<Machine, Integer> countReplicasByMachine(Job service) {
        Map<Machine, Integer> counts = new HashMap<>();
        service.bindings().forEach(binding -> counts.merge(binding.machine(), 1, Integer::sum));
        return counts;
    }

    /** Returns the running replicas of services on machines that the cloud is about to reclaim. */
    List<Binding> replicasToEvict() {
        List<Binding> evicted = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (machine.reclaim().isAnnounced() && !machine.isTerminating()) {
                for (Binding binding : machine.bindings()) {
                    boolean isRunning =
                            binding.phase() == Binding.Phase.RUNNING || binding.phase() == Binding.Phase.CHECKPOINTING;
                    if (binding.job().spec().isService()
                            && isRunning
                            && !binding.job().isCancelled()) {
                        evicted.add(binding);
                    }
                }
            }
        }
        return evicted;
    }

    /**
     * Reserves capacity on another machine for a replica that is to be evicted. Returns false if no machine has room.
     * The usage of the team's quota and the task count of the zone already include the replica.
     */
    boolean reserveReplacement(Binding evicted) {
        Job job = evicted.job();
        WaitingJob replica = new WaitingJob(Candidate.waiting(job, now, 0), allowedKinds(job.spec()));
        String zone = evicted.machine().zone();
        for (MachineCapacity capacity : machines) {
            boolean isZonePermitted = capacity.machine().zone().equals(zone)
                    || zoneConstraints.allows(job, capacity.machine().zone());
            if (isZonePermitted && capacity.fits(job.spec().taskResources()) && canRunOn(replica, capacity)) {
                capacity.allocateReplica(job.spec().taskResources());
                return true;
            }
        }
        return false;
    }

    private boolean canRunOn(WaitingJob waiting, MachineCapacity capacity) {
        return isPermitted(waiting, capacity) && capacity.accepts(waiting.job());
    }

    private boolean isPermitted(WaitingJob waiting, MachineCapacity capacity) {
        return waiting.allows(capacity.kindIndex()) && capacity.bindingCount() < maxBindingsPerMachine;
    }

    /** Counts one task of the job as placed on the machine. */
    void place(Job job, MachineCapacity capacity) {
        JobSpec spec = job.spec();
        if (spec.isService()) {
            capacity.allocateReplica(spec.taskResources());
        } else {
            capacity.allocate(spec.taskResources());
        }
        quotas.add(spec);
        if (spec.isService()) {
            replicaCounts(job).merge(capacity.machine(), 1, Integer::sum);
        }
        zoneConstraints.add(job, capacity.machine().zone());
    }
}
