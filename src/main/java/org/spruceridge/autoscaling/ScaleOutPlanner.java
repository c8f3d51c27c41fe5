package org.spruceridge.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;

/**
 * Bin-packs unplaced tasks into existing and booting machines. Plans new machines for the remaining tasks, each of the
 * cheapest available kind that fits. Only computes the plan; {@link ScaleOutCycle} requests the machines.
 */
final class ScaleOutPlanner {
    private static final int MAX_NEW_MACHINES = 100;

    private final Cluster cluster;
    private final Predicate<MachineKind> isAvailable;
    private final Resources minTaskResources;
    private final List<Bin> bins = new ArrayList<>();
    private final Map<MachineKind, Integer> launchCounts = new HashMap<>();
    private final Map<String, Integer> machinesPerZone = new HashMap<>();
    private final Set<Machine> neededMachines = new HashSet<>();
    private int newMachineCount;

    /**
     * {@code isAvailable} is true for kinds of machines that the cloud has not recently refused. {@code
     * minTaskResources} contains, for each resource, the smallest amount that any task to be placed needs. Capacity
     * into which {@code minTaskResources} does not fit is ignored.
     */
    ScaleOutPlanner(Cluster cluster, Predicate<MachineKind> isAvailable, Resources minTaskResources) {
        this.cluster = cluster;
        this.isAvailable = isAvailable;
        this.minTaskResources = minTaskResources;
        for (Machine machine : cluster.machines()) {
            machinesPerZone.merge(machine.zone(), 1, Integer::sum);
        }
    }

    /** Adds the free capacity of an existing machine. */
    void add(Machine machine) {
        addIfUseful(machine.kind(), cluster.freeCapacity(machine), machine);
    }

    /** Adds the capacity that is expected to become free on a machine before a new machine can boot. */
    void addFutureCapacity(Machine machine, Resources freed) {
        addIfUseful(machine.kind(), freed, machine);
    }

    private void addIfUseful(MachineKind kind, Resources freeCapacity, Machine machine) {
        if (minTaskResources.fitsIn(freeCapacity)) {
            bins.add(new Bin(kind, freeCapacity, machine));
        }
    }

    /** Adds the capacity of a machine whose launch request has no result yet. */
    void add(MachineKind kind) {
        MachineType type = cluster.machineTypes().get(kind.type());
        if (type != null) {
            bins.add(new Bin(kind, type.capacity(), null));
        }
    }

    /**
     * Places {@code count} tasks of a job, and plans new machines for the tasks that fit on no machine added so far.
     */
    void place(JobSpec spec, int count, ZoneAllowance zoneAllowance) {
        int remaining = count;
        for (Bin bin : bins) {
            if (remaining == 0) {
                return;
            }
            remaining -= bin.place(spec, remaining, zoneAllowance);
        }
        while (remaining > 0 && newMachineCount < MAX_NEW_MACHINES) {
            Optional<MachineKind> kind = cheapestKind(spec, zoneAllowance);
            if (kind.isEmpty()) {
                return;
            }
            Bin bin = new Bin(
                    kind.get(), cluster.machineTypes().get(kind.get().type()).capacity(), null);
            bins.add(bin);
            newMachineCount++;
            launchCounts.merge(kind.get(), 1, Integer::sum);
            machinesPerZone.merge(kind.get().zone(), 1, Integer::sum);
            remaining -= bin.place(spec, remaining, zoneAllowance);
        }
    }

    /** The number of machines to launch, by kind. */
    Map<MachineKind, Integer> launchCounts() {
        return launchCounts;
    }

    /** The existing machines on which this planner has placed tasks. */
    Set<Machine> neededMachines() {
        return neededMachines;
    }

    private Optional<MachineKind> cheapestKind(JobSpec spec, ZoneAllowance zoneAllowance) {
        List<MachineKind> candidates = new ArrayList<>();
        for (MachineType type : cluster.machineTypes().values()) {
            if (!spec.taskResources().fitsIn(type.capacity())) {
                continue;
            }
            for (String zone : type.zones()) {
                if (zoneAllowance.remainingTaskCount(zone) == 0) {
                    continue;
                }
                for (boolean spot : new boolean[] {true, false}) {
                    MachineKind kind = new MachineKind(type.name(), zone, spot);
                    if (spec.allows(type.name(), zone, spot) && isAvailable.test(kind)) {
                        candidates.add(kind);
                    }
                }
            }
        }
        return candidates.stream()
                .min(Comparator.comparingDouble((MachineKind kind) -> pricePerTask(kind, spec))
                        .thenComparing(kind -> machinesPerZone.getOrDefault(kind.zone(), 0))
                        .thenComparing(MachineKind::zone));
    }

    private double pricePerTask(MachineKind kind, JobSpec spec) {
        MachineType type = cluster.machineTypes().get(kind.type());
        int tasksPerMachine = Math.min(spec.taskCount(), type.capacity().countFittingTasks(spec.taskResources()));
        return type.price(kind.spot()) / Math.max(1, tasksPerMachine);
    }

    /** Free capacity for tasks. {@code machine} is null if the machine does not exist yet. */
    private final class Bin {
        private final MachineKind kind;
        private final Machine machine;
        private Resources freeCapacity;

        Bin(MachineKind kind, Resources freeCapacity, Machine machine) {
            this.kind = kind;
            this.freeCapacity = freeCapacity;
            this.machine = machine;
        }

        /** Places up to {@code maxCount} tasks of a job, and returns the number of tasks placed. */
        int place(JobSpec spec, int maxCount, ZoneAllowance zoneAllowance) {
            if (!spec.taskResources().fitsIn(freeCapacity) || !spec.allows(kind.type(), kind.zone(), kind.spot())) {
                return 0;
            }
            int count = Math.min(
                    Math.min(maxCount, zoneAllowance.remainingTaskCount(kind.zone())),
                    freeCapacity.countFittingTasks(spec.taskResources()));
            zoneAllowance.addPlannedTasks(kind.zone(), count);
            for (int i = 0; i < count; i++) {
                freeCapacity = freeCapacity.minus(spec.taskResources());
            }
            if (count > 0 && machine != null) {
                neededMachines.add(machine);
            }
            return count;
        }
    }
}
