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

/** Decides which machines to delete because they are idle or cannot be given any more tasks. */
final class ScaleInCycle {
    /** The minimum time that the cloud bills for a machine. An idle machine is not deleted earlier. */
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

    /**
     * Deletes idle and unusable machines, except idle ones in {@code neededMachines}, whose capacity is still needed.
     */
    void run(Set<Machine> neededMachines, long now) {
        List<Machine> machinesToDelete = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (canBeDeleted(machine) && (isUnusable(machine, now) || isSurplus(machine, neededMachines, now))) {
                machinesToDelete.add(machine);
            }
        }
        scaleInRequests.delete(machinesToDelete, "idle-or-unusable");
    }

    private static boolean canBeDeleted(Machine machine) {
        return !machine.isTerminating()
                && machine.hasReported()
                && (machine.bindings().isEmpty() || mayReceiveStartOfCancelledTask(machine));
    }

    private boolean isUnusable(Machine machine, long now) {
        return machine.isUnschedulable() && !(machine.suspicion().isSuspect() && isBeingProbed(machine, now));
    }

    private boolean isSurplus(Machine machine, Set<Machine> neededMachines, long now) {
        return isIdleTimeoutExceeded(machine, now)
                && !neededMachines.contains(machine)
                && !warmCapacity.isLearning(cluster, now);
    }

    private boolean isIdleTimeoutExceeded(Machine machine, long now) {
        double bootS = cluster.typeOf(machine).map(MachineType::bootS).orElse(0.0);
        double idleTimeoutS = policy.fleet().idleTimeoutBoots() * bootS * minPriceRatio(machine);
        return Durations.secondsSince(machine.idleSince(), now) > idleTimeoutS
                && Durations.secondsSince(machine.launchedAt(), now) > MIN_BILLED_S;
    }

    /** True if the machine became suspect recently, so that it may still respond to a probe. */
    private boolean isBeingProbed(Machine machine, long now) {
        return Durations.secondsSince(machine.unacknowledgedSince(), now)
                < settings.workers().leaseS() / 2;
    }

    /**
     * The lowest price of the machine's type divided by the machine's own price. It scales the idle timeout, so that
     * more expensive machines are deleted sooner.
     */
    private double minPriceRatio(Machine machine) {
        return cluster.typeOf(machine)
                .map(type -> Math.min(type.price(), type.spotPrice()) / type.price(machine.isSpot()))
                .orElse(1.0);
    }

    /**
     * True if a direct command to start a cancelled task may still reach the machine, which only the deletion of the
     * machine rules out.
     */
    private static boolean mayReceiveStartOfCancelledTask(Machine machine) {
        return machine.directCommands().hasUncertainStart()
                && machine.bindings().stream()
                        .anyMatch(binding -> binding.job().isCancelled()
                                && binding.phase() == Binding.Phase.ABSENT
                                && machine.directCommands().isStartUnresolved(binding.attempt()));
    }
}
