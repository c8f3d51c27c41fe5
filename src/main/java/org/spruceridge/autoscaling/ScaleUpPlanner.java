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
 * Packs tasks that found no room into machines that are coming, and then into machines yet to be rented, the cheapest
 * that fits and can be had. It only computes; what it asks for is the autoscaler's to rent.
 */
final class ScaleUpPlanner {
    private static final int MOST_NEW = 100;

    private final Cluster cluster;
    private final Predicate<MachineKind> available;
    private final Resources smallestTask;
    private final List<Bin> bins = new ArrayList<>();
    private final Map<MachineKind, Integer> wanted = new HashMap<>();
    private final Map<String, Integer> perZone = new HashMap<>();
    private final Set<Machine> kept = new HashSet<>();
    private int fresh;

    /**
     * {@code available} tells which offers were not refused lately, {@code smallestTask} the least that any task to be
     * placed takes of each resource: room in which that does not fit need not be looked at for each job.
     */
    ScaleUpPlanner(Cluster cluster, Predicate<MachineKind> available, Resources smallestTask) {
        this.cluster = cluster;
        this.available = available;
        this.smallestTask = smallestTask;
        for (Machine m : cluster.machines()) {
            perZone.merge(m.zone(), 1, Integer::sum);
        }
    }

    /** Capacity on a machine that is there. */
    void add(Machine machine) {
        addIfUseful(machine.kind(), cluster.freeCapacity(machine), machine);
    }

    /** Capacity that will have fallen free on a machine by the time a new one would be up. */
    void addFreed(Machine machine, Resources freed) {
        addIfUseful(machine.kind(), freed, machine);
    }

    private void addIfUseful(MachineKind kind, Resources free, Machine machine) {
        if (smallestTask.fitsIn(free)) {
            bins.add(new Bin(kind, free, machine));
        }
    }

    /** Capacity on a machine that was asked for. */
    void add(MachineKind offer) {
        MachineType type = cluster.types().get(offer.type());
        if (type != null) {
            bins.add(new Bin(offer, type.capacity(), null));
        }
    }

    /** Finds room for tasks of a job, asking for machines where there is none. */
    void place(JobSpec spec, int count, ZoneAllowance zones) {
        int left = count;
        for (Bin bin : bins) {
            if (left == 0) {
                return;
            }
            left -= bin.take(spec, left, zones);
        }
        while (left > 0 && fresh < MOST_NEW) {
            Optional<MachineKind> offer = cheapest(spec, zones);
            if (offer.isEmpty()) {
                return;
            }
            Bin bin =
                    new Bin(offer.get(), cluster.types().get(offer.get().type()).capacity(), null);
            bins.add(bin);
            fresh++;
            wanted.merge(offer.get(), 1, Integer::sum);
            perZone.merge(offer.get().zone(), 1, Integer::sum);
            left -= bin.take(spec, left, zones);
        }
    }

    /** Machines to be rented, by kind. */
    Map<MachineKind, Integer> wanted() {
        return wanted;
    }

    /** Machines whose room was counted on. */
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
                    if (spec.allows(type.name(), zone, spot) && available.test(offer)) {
                        offers.add(offer);
                    }
                }
            }
        }
        return offers.stream()
                .min(Comparator.comparingDouble((MachineKind o) -> pricePerTask(o, spec))
                        .thenComparing(o -> perZone.getOrDefault(o.zone(), 0))
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
            int n = Math.min(Math.min(most, zones.left(offer.zone())), free.holds(spec.task()));
            zones.take(offer.zone(), n);
            for (int i = 0; i < n; i++) {
                free = free.minus(spec.task());
            }
            if (n > 0 && machine != null) {
                kept.add(machine);
            }
            return n;
        }
    }
}
