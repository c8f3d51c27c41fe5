package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Settings;
import org.spruceridge.config.Settings.Team;
import org.spruceridge.net.Durations;

/**
 * The working copy of one scheduling cycle: what is free on each machine, what each team uses and which zones each job
 * occupies, all counted over bindings, together with what the cycle has placed so far. The cluster itself is only read.
 */
final class CycleState {
    /** A machine that has been silent for this many report periods gets no work. */
    private static final double MAX_HEARTBEAT_AGE_INTERVALS = 2.5;

    private final Cluster cluster;
    private final Settings settings;
    private final int maxBindingsPerMachine;
    private final long now;
    private final List<MachineKind> kinds = new ArrayList<>();
    private final List<MachineCapacity> machines = new ArrayList<>();
    private final Map<String, Resources> teamUse = new HashMap<>();
    private final Set<String> teamsWithReservedQuota = new HashSet<>();
    private final Map<Job, Map<String, Integer>> zones = new HashMap<>();
    private final Map<Job, Map<Machine, Integer>> replicas = new HashMap<>();

    /** {@code maxBindingsPerMachine} is what the record of one machine can hold. */
    CycleState(Cluster cluster, Settings settings, int maxBindingsPerMachine, long now) {
        this.cluster = cluster;
        this.settings = settings;
        this.maxBindingsPerMachine = maxBindingsPerMachine;
        this.now = now;
        Map<MachineKind, Integer> kindIndexes = new HashMap<>();
        for (Machine machine : cluster.machines()) {
            MachineType type = cluster.types().get(machine.type());
            if (type != null && isSchedulable(machine)) {
                int kindIndex = kindIndexes.computeIfAbsent(machine.kind(), this::addKind);
                machines.add(new MachineCapacity(machine, type, kindIndex));
            }
        }
        for (String team : settings.teams().keySet()) {
            teamUse.put(team, cluster.usedBy(team));
        }
    }

    private int addKind(MachineKind kind) {
        kinds.add(kind);
        return kinds.size() - 1;
    }

    private boolean isSchedulable(Machine machine) {
        double silentS = Durations.secondsSince(machine.lease().lastHeartbeat(), now);
        return machine.lease().isFenced()
                && !machine.isTerminating()
                && !machine.isUnschedulable()
                && silentS < MAX_HEARTBEAT_AGE_INTERVALS * settings.workers().heartbeatIntervalS();
    }

    /** All machines that may get work, in the cluster's order. */
    List<MachineCapacity> machines() {
        return machines;
    }

    long now() {
        return now;
    }

    /** The waiting jobs that may be placed now, in the cluster's order. */
    Map<Job, WaitingJob> waitingJobs(long wallMs) {
        Map<Job, WaitingJob> waiting = new LinkedHashMap<>();
        for (Job job : cluster.jobs()) {
            if (job.waiting() > 0 && job.retryAfter() <= now) {
                waiting.put(job, new WaitingJob(Candidate.waiting(job, now, wallMs), allowedKinds(job.spec())));
            }
        }
        return waiting;
    }

    private boolean[] allowedKinds(JobSpec spec) {
        boolean[] allowed = new boolean[kinds.size()];
        for (int i = 0; i < allowed.length; i++) {
            MachineKind kind = kinds.get(i);
            allowed[i] = spec.task().fitsIn(cluster.types().get(kind.type()).capacity())
                    && spec.allows(kind.type(), kind.zone(), kind.spot());
        }
        return allowed;
    }

    /** The machines by what their scores depend on. */
    Map<MachineGroup, GroupCapacity> groups() {
        double[] prices = new double[kinds.size()];
        double dearest = 0;
        for (int i = 0; i < prices.length; i++) {
            MachineKind kind = kinds.get(i);
            MachineType type = cluster.types().get(kind.type());
            prices[i] = type.price(kind.spot()) / type.capacity().cpus();
            dearest = Math.max(dearest, prices[i]);
        }
        Map<MachineGroup, GroupCapacity> groups = new LinkedHashMap<>();
        for (MachineCapacity capacity : machines) {
            int kindIndex = capacity.kindIndex();
            double share = dearest > 0 ? prices[kindIndex] / dearest : 1;
            MachineGroup group = new MachineGroup(kinds.get(kindIndex), share, capacity.fullness());
            groups.computeIfAbsent(group, g -> new GroupCapacity(kindIndex)).add(capacity);
        }
        return groups;
    }

    /** True if the job allows the machine's kind and nothing but free capacity can keep its tasks from it. */
    boolean isEligible(WaitingJob waiting, MachineCapacity capacity) {
        return canRunOn(waiting, capacity)
                && isZoneAllowed(waiting.job(), capacity.machine().zone());
    }

    private boolean isZoneAllowed(Job job, String zone) {
        JobSpec spec = job.spec();
        if (!spec.oneZone() && !spec.spread()) {
            return true;
        }
        Map<String, Integer> used = zones.computeIfAbsent(job, CycleState::zonesOf);
        boolean together = !spec.oneZone() || used.isEmpty() || used.containsKey(zone);
        return together && used.getOrDefault(zone, 0) < spec.zoneLimit();
    }

    private static Map<String, Integer> zonesOf(Job job) {
        Map<String, Integer> used = new HashMap<>();
        job.bindings().forEach(binding -> used.merge(binding.machine().zone(), 1, Integer::sum));
        return used;
    }

    /** How many replicas of a service are on a machine. */
    int replicasOn(Machine machine, Job service) {
        return replicas(service).getOrDefault(machine, 0);
    }

    private Map<Machine, Integer> replicas(Job service) {
        return replicas.computeIfAbsent(service, CycleState::replicasOf);
    }

    private static Map<Machine, Integer> replicasOf(Job service) {
        Map<Machine, Integer> counts = new HashMap<>();
        service.bindings().forEach(binding -> counts.merge(binding.machine(), 1, Integer::sum));
        return counts;
    }

    /** Replicas of services that have to leave their machine, because the cloud takes it away. */
    List<Binding> replicasToEvict() {
        List<Binding> evicted = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (machine.reclaim().isAnnounced() && !machine.isTerminating()) {
                for (Binding binding : machine.bindings()) {
                    boolean there =
                            binding.phase() == Binding.Phase.RUNNING || binding.phase() == Binding.Phase.CHECKPOINTING;
                    if (binding.job().spec().isService()
                            && there
                            && !binding.job().isCancelled()) {
                        evicted.add(binding);
                    }
                }
            }
        }
        return evicted;
    }

    /**
     * Keeps room for a replica that leaves its machine, where it may run once it has left; false if there is none. Its
     * team and its zone count it already.
     */
    boolean reserveReplacement(Binding evicted) {
        Job job = evicted.job();
        WaitingJob replica = new WaitingJob(Candidate.waiting(job, now, 0), allowedKinds(job.spec()));
        String zone = evicted.machine().zone();
        for (MachineCapacity capacity : machines) {
            boolean zoneFits = capacity.machine().zone().equals(zone)
                    || isZoneAllowed(job, capacity.machine().zone());
            if (zoneFits && capacity.fits(job.spec().task()) && canRunOn(replica, capacity)) {
                capacity.takeReplica(job.spec().task());
                return true;
            }
        }
        return false;
    }

    private boolean canRunOn(WaitingJob waiting, MachineCapacity capacity) {
        return waiting.allows(capacity.kindIndex())
                && capacity.accepts(waiting.job())
                && capacity.bindingCount() < maxBindingsPerMachine;
    }

    /** How many more tasks of this size the team's limit admits. */
    int tasksWithinQuota(JobSpec spec) {
        Team team = settings.teams().get(spec.team());
        if (team == null || teamsWithReservedQuota.contains(spec.team())) {
            return 0;
        }
        if (team.cpusMax() <= 0 && team.gpusMax() <= 0) {
            return Integer.MAX_VALUE;
        }
        Resources used = teamUse.get(spec.team());
        Resources left = new Resources(
                team.cpusMax() > 0 ? team.cpusMax() - used.cpus() : Double.MAX_VALUE,
                team.gpusMax() > 0 ? team.gpusMax() - used.gpus() : Double.MAX_VALUE,
                Double.MAX_VALUE);
        return left.holds(spec.task());
    }

    /** Keeps what is left of a team's limit from the candidates that follow in this cycle. */
    void reserveQuota(String team) {
        teamsWithReservedQuota.add(team);
    }

    boolean isQuotaReserved(String team) {
        return teamsWithReservedQuota.contains(team);
    }

    /** Counts one task of the job as placed on the machine. */
    void place(Job job, MachineCapacity capacity) {
        JobSpec spec = job.spec();
        if (spec.isService()) {
            capacity.takeReplica(spec.task());
        } else {
            capacity.take(spec.task());
        }
        teamUse.computeIfPresent(spec.team(), (team, used) -> used.plus(spec.task()));
        if (spec.isService()) {
            replicas(job).merge(capacity.machine(), 1, Integer::sum);
        }
        if (spec.oneZone() || spec.spread()) {
            zones.computeIfAbsent(job, CycleState::zonesOf)
                    .merge(capacity.machine().zone(), 1, Integer::sum);
        }
    }
}
