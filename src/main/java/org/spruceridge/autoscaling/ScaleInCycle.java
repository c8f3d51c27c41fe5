package org.spruceridge.autoscaling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.TaskFailures;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.schedule.Plan;
import org.spruceridge.term.LeaderContext;

/**
 * Decides which machines to delete because they are idle or unusable. No tasks can be placed on an unusable machine.
 */
final class ScaleInCycle {
    /**
     * The minimum time that the cloud bills for a machine. An idle machine is kept until that time after its launch.
     */
    private static final double MIN_BILLED_S = 60;

    /** A cordoned machine is faulty beyond doubt once tasks of this many jobs failed there and then completed. */
    private static final int FAILED_JOBS_BEFORE_DELETION = 2;

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
     * Deletes unusable machines, and idle machines that are not in {@code neededMachines}. The capacity of the needed
     * machines is reserved for unplaced tasks or as warm capacity.
     */
    void run(Plan plan, Set<Machine> neededMachines, long now) {
        List<Machine> machinesToDelete = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (canBeDeleted(machine, now)
                    && !isLastResort(machine, plan)
                    && (isUnusable(machine, now) || isSurplus(machine, neededMachines, now))) {
                machinesToDelete.add(machine);
            }
        }
        scaleInRequests.delete(machinesToDelete, "idle-or-unusable");
    }

    private boolean canBeDeleted(Machine machine, long now) {
        return !machine.isTerminating()
                && machine.hasReported()
                && (machine.bindings().isEmpty()
                        || (canStartOfCancelledTaskStillArrive(machine) && !isBeingProbed(machine, now)));
    }

    private boolean isUnusable(Machine machine, long now) {
        boolean isUnanswered =
                machine.suspicion().isSuspect() || machine.startCommands().hasUncertainStart();
        return machine.isUnschedulable()
                && !isPossiblyInOrder(machine)
                && !(isUnanswered && isBeingProbed(machine, now));
    }

    /**
     * True if the machine is cordoned, but the jobs whose tasks failed on it can be the cause, and no other machine boots
     * in its place. Such a machine is deleted only as surplus.
     */
    private boolean isPossiblyInOrder(Machine machine) {
        TaskFailures failures = machine.taskFailures();
        return failures.isCordoned()
                && !machine.isBlocked()
                && !failures.isConfirmedBy(FAILED_JOBS_BEFORE_DELETION)
                && !isReplacementBooting(machine);
    }

    /**
     * True if the machine is possibly in order, and a task that fits nowhere else fits on it. The task can be a trial
     * there, which can show that the machine is in order.
     */
    private boolean isLastResort(Machine machine, Plan plan) {
        return isPossiblyInOrder(machine)
                && plan.unplacedTaskCounts().keySet().stream().anyMatch(job -> fits(job.spec(), machine));
    }

    private boolean isReplacementBooting(Machine machine) {
        return cluster.machines().stream()
                .anyMatch(other -> !other.hasReported()
                        && other.launchedAt() >= machine.taskFailures().cordonedSince());
    }

    private boolean fits(JobSpec spec, Machine machine) {
        return spec.allows(machine.type(), machine.zone(), machine.isSpot())
                && spec.taskResources().fitsIn(cluster.freeCapacity(machine));
    }

    private boolean isSurplus(Machine machine, Set<Machine> neededMachines, long now) {
        return isIdleTimeoutExceeded(machine, now)
                && !neededMachines.contains(machine)
                && !warmCapacity.isLearning(cluster, now);
    }

    private boolean isIdleTimeoutExceeded(Machine machine, long now) {
        double bootS = cluster.machineTypeOf(machine).map(MachineType::bootS).orElse(0.0);
        double idleTimeoutS = policy.fleet().idleTimeoutBoots() * bootS * lowestToOwnPriceRatio(machine);
        return Durations.secondsSince(machine.idleSince(), now) > idleTimeoutS
                && Durations.secondsSince(machine.launchedAt(), now) > MIN_BILLED_S;
    }

    /**
     * True if a machine can still respond to a probe or accept a higher fencing token. The machine gets half a lease from
     * the earliest of three events: it became suspect, its oldest pending command was sent, or a start became uncertain.
     */
    private boolean isBeingProbed(Machine machine, long now) {
        return Durations.secondsSince(machine.unansweredSince(), now)
                < settings.workers().leaseS() / 2;
    }

    /**
     * The lower price of the machine's type, spot or on-demand, divided by the machine's own price. This ratio scales
     * the idle timeout, which shortens the timeout of machines that cost more than the lower price.
     */
    private double lowestToOwnPriceRatio(Machine machine) {
        return cluster.machineTypeOf(machine)
                .map(type -> Math.min(type.price(), type.spotPrice()) / type.price(machine.isSpot()))
                .orElse(1.0);
    }

    /**
     * True if a direct command to start a cancelled task can still reach the machine. Deleting the machine is the only
     * way to rule that out.
     */
    private static boolean canStartOfCancelledTaskStillArrive(Machine machine) {
        return machine.startCommands().hasUncertainStart()
                && machine.bindings().stream()
                        .anyMatch(binding -> binding.job().isCancelled()
                                && binding.phase() == Binding.Phase.ABSENT
                                && machine.startCommands().isDirectStartUnresolved(binding.attempt()));
    }
}
