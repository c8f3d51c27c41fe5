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
 * Packs tasks that found no capacity into existing and booting machines, and then into new ones of the cheapest kind that
 * fits and is available. It only computes; {@link ScaleOutCycle} requests the machines.
 */
final class ScaleOutPlanner {
    private static final int MAX_NEW_MACHINES = 100;

    private final Cluster cluster;
    private final Predicate<MachineKind> isAvailable;
    private final Resources smallestTask;
    private final List<Bin> bins = new ArrayList<>();
    private final Map<MachineKind, Integer> launches = new HashMap<>();
    private final Map<String, Integer> machinesPerZone = new HashMap<>();
    private final Set<Machine> kept = new HashSet<>();
    private int newMachines;

    /**
     * {@code isAvailable} is true for kinds that were not refused lately. {@code smallestTask} is the minimum of each
     * resource over all tasks to be placed: capacity that it does not fit into is ignored.
     */
    ScaleOutPlanner(Cluster cluster, Predicate<MachineKind> isAvailable, Resources smallestTask) {
        this.cluster = cluster;
        this.isAvailable = isAvailable;
        this.smallestTask = smallestTask;
        for (Machine machine : cluster.machines()) {
            machinesPerZone.merge(machine.zone(), 1, Integer::sum);
        }
    }

    /** Adds the free capacity of an existing machine. */
    void add(Machine machine) {
        addIfUseful(machine.kind(), cluster.freeCapacity(machine), machine);
    }

    /** Adds the capacity that a machine will have free by the time a new one would have booted. */
    void addFreed(Machine machine, Resources freed) {
        addIfUseful(machine.kind(), freed, machine);
    }

    private void addIfUseful(MachineKind kind, Resources free, Machine machine) {
        if (smallestTask.fitsIn(free)) {
            bins.add(new Bin(kind, free, machine));
        }
    }

    /** Adds the capacity of a machine that was requested. */
    void add(MachineKind offer) {
        MachineType type = cluster.types().get(offer.type());
        if (type != null) {
            bins.add(new Bin(offer, type.capacity(), null));
        }
    }

    /** Places tasks of a job, and plans new machines for those that do not fit. */
    void place(JobSpec spec, int count, ZoneAllowance zones) {
        int left = count;
        for (Bin bin : bins) {
            if (left == 0) {
                return;
            }
            left -= bin.take(spec, left, zones);
        }
        while (left > 0 && newMachines < MAX_NEW_MACHINES) {
            Optional<MachineKind> offer = cheapest(spec, zones);
            if (offer.isEmpty()) {
                return;
            }
            Bin bin =
                    new Bin(offer.get(), cluster.types().get(offer.get().type()).capacity(), null);
            bins.add(bin);
            newMachines++;
            launches.merge(offer.get(), 1, Integer::sum);
            machinesPerZone.merge(offer.get().zone(), 1, Integer::sum);
            left -= bin.take(spec, left, zones);
        }
    }

    /** How many machines to launch, by kind. */
    Map<MachineKind, Integer> launches() {
        return launches;
    }

    /** The existing machines whose capacity is needed. */
    Set<Machine> kept() {
        return kept;
    }

    private Optional<MachineKind> cheapest(JobSpec spec, ZoneAllowance zones) {
        List<MachineKind> offers = new ArrayList<>();
        for (MachineType type : cluster.types().values()) {
            if (!spec.task().fitsIn(type.capacity())) {
                continue;
            }
            for (String zone : type.zones()) {
                if (zones.left(zone) == 0) {
                    continue;
                }
                for (boolean spot : new boolean[] {true, false}) {
                    MachineKind offer = new MachineKind(type.name(), zone, spot);
                    if (spec.allows(type.name(), zone, spot) && isAvailable.test(offer)) {
                        offers.add(offer);
                    }
                }
            }
        }
        return offers.stream()
                .min(Comparator.comparingDouble((MachineKind offer) -> pricePerTask(offer, spec))
                        .thenComparing(offer -> machinesPerZone.getOrDefault(offer.zone(), 0))
                        .thenComparing(MachineKind::zone));
    }

    private double pricePerTask(MachineKind offer, JobSpec spec) {
        MachineType type = cluster.types().get(offer.type());
        int holds = Math.min(spec.tasks(), type.capacity().holds(spec.task()));
        return type.price(offer.spot()) / Math.max(1, holds);
    }

    private final class Bin {
        private final MachineKind offer;
        private final Machine machine;
        private Resources free;

        Bin(MachineKind offer, Resources free, Machine machine) {
            this.offer = offer;
            this.free = free;
            this.machine = machine;
        }

        int take(JobSpec spec, int most, ZoneAllowance zones) {
            if (!spec.task().fitsIn(free) || !spec.allows(offer.type(), offer.zone(), offer.spot())) {
                return 0;
            }
            int count = Math.min(Math.min(most, zones.left(offer.zone())), free.holds(spec.task()));
            zones.take(offer.zone(), count);
            for (int i = 0; i < count; i++) {
                free = free.minus(spec.task());
            }
            if (count > 0 && machine != null) {
                kept.add(machine);
            }
            return count;
        }
    }
}
