package org.spruceridge.autoscaling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.term.LeaderContext;

/** Decides which machines to delete because they are idle or can get no more tasks. */
final class ScaleInCycle {
    /** The cloud bills at least this many seconds for a machine, so an idle one is not deleted before. */
    private static final double MIN_BILLED_S = 60;

    private final Cluster cluster;
    private final Settings settings;
    private final Policy policy;
    private final WarmCapacity warmCapacity;
    private final ScaleInRequests scaleInRequests;

    ScaleInCycle(LeaderContext context, WarmCapacity warmCapacity, ScaleInRequests scaleInRequests) {
        this.cluster = context.cluster();
        this.settings = context.settings();
        this.policy = context.policy();
        this.warmCapacity = warmCapacity;
        this.scaleInRequests = scaleInRequests;
    }

    /** Deletes idle and unusable machines; {@code needed} are those whose capacity is still needed. */
    void run(Set<Machine> needed, long now) {
        List<Machine> surplus = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (canBeDeleted(machine) && (isUnusable(machine, now) || isSurplus(machine, needed, now))) {
                surplus.add(machine);
            }
        }
        scaleInRequests.delete(surplus, "idle-or-unusable");
    }

    private static boolean canBeDeleted(Machine machine) {
        return !machine.isTerminating()
                && machine.hasReported()
                && (machine.bindings().isEmpty() || awaitsStartOfCancelledTask(machine));
    }

    private boolean isUnusable(Machine machine, long now) {
        return machine.isUnschedulable() && !(machine.suspicion().isSuspect() && isBeingProbed(machine, now));
    }

    private boolean isSurplus(Machine machine, Set<Machine> needed, long now) {
        return isIdleLong(machine, now) && !needed.contains(machine) && !warmCapacity.isLearning(cluster, now);
    }

    private boolean isIdleLong(Machine machine, long now) {
        double bootS = cluster.typeOf(machine).map(MachineType::bootS).orElse(0.0);
        double idleTimeoutS = policy.fleet().idleTimeoutBoots() * bootS * cheapness(machine);
        return Durations.secondsSince(machine.idleSince(), now) > idleTimeoutS
                && Durations.secondsSince(machine.launchedAt(), now) > MIN_BILLED_S;
    }

    /** True if the machine became suspect a short time ago, and a probe of it may still be answered. */
    private boolean isBeingProbed(Machine machine, long now) {
        return Durations.secondsSince(machine.unacknowledgedSince(), now)
                < settings.workers().leaseS() / 2;
    }

    /** The lowest price of the machine's type divided by its own: the more it costs, the sooner it is deleted. */
    private double cheapness(Machine machine) {
        return cluster.typeOf(machine)
                .map(type -> Math.min(type.price(), type.spotPrice()) / type.price(machine.isSpot()))
                .orElse(1.0);
    }

    /** True if a direct start of a cancelled task may still arrive: only the deletion rules that out. */
    private static boolean awaitsStartOfCancelledTask(Machine machine) {
        return machine.directCommands().hasUncertainStart()
                && machine.bindings().stream()
                        .anyMatch(binding -> binding.job().isCancelled()
                                && binding.phase() == Binding.Phase.ABSENT
                                && machine.directCommands().isStartUnresolved(binding.attempt()));
    }
}
