package org.spruceridge.autoscaling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.schedule.Plan;

/** Decides how many machines to launch for warm capacity and for tasks that the last scheduling cycle did not place. */
final class ScaleOutCycle {
    private final Cluster cluster;
    private final Settings settings;
    private final WarmCapacity warmCapacity;
    private final ScaleOutRequests scaleOutRequests;

    ScaleOutCycle(Cluster cluster, Settings settings, WarmCapacity warmCapacity, ScaleOutRequests scaleOutRequests) {
        this.cluster = cluster;
        this.settings = settings;
        this.warmCapacity = warmCapacity;
        this.scaleOutRequests = scaleOutRequests;
    }

    /** Requests the missing machines, and returns the existing machines whose capacity is needed. */
    Set<Machine> run(Plan plan, long now, long wallMs) {
        List<WarmCapacity.Reserve> reserves = warmCapacity.reserves(cluster, now, wallMs);
        ScaleOutPlanner planner =
                new ScaleOutPlanner(cluster, scaleOutRequests::isAvailable, minTaskResources(plan, reserves));
        List<Machine> running = addBootingMachines(planner, now);
        addPendingRequests(planner);
        for (Machine machine : running) {
            planner.addFutureCapacity(machine, capacityFreedWithinBoot(machine, now));
        }
        plan.unplacedTaskCounts().forEach((job, count) -> planner.place(job.spec(), count, ZoneAllowance.of(job)));
        running.forEach(planner::add); // warm capacity can use the capacity that the scheduling cycle left free
        reserves.forEach(reserve -> planner.place(
                reserve.jobSpec(), reserve.taskCount(), ZoneAllowance.of(reserve.jobSpec(), reserve.taskCount())));
        planner.launchCounts().forEach(scaleOutRequests::launch);
        return planner.neededMachines();
    }

    /** For each resource, the minimum of the amounts that the tasks to be placed need. */
    private static Resources minTaskResources(Plan plan, List<WarmCapacity.Reserve> reserves) {
        Stream<JobSpec> specs = Stream.concat(
                plan.unplacedTaskCounts().keySet().stream().map(Job::spec),
                reserves.stream().map(WarmCapacity.Reserve::jobSpec));
        return Resources.minOf(specs.map(JobSpec::taskResources));
    }

    /** Adds the booting machines to the planner, and returns the machines whose workers have sent a heartbeat. */
    private List<Machine> addBootingMachines(ScaleOutPlanner planner, long now) {
        List<Machine> running = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (machine.isTerminating() || machine.isUnschedulable()) {
                continue;
            }
            if (machine.hasReported()) {
                running.add(machine);
            } else if (isBooting(machine, now)) {
                planner.add(machine);
            }
        }
        return running;
    }

    private void addPendingRequests(ScaleOutPlanner planner) {
        scaleOutRequests.forEachPending((kind, count) -> {
            for (int i = 0; i < count; i++) {
                planner.add(kind);
            }
        });
    }

    private boolean isBooting(Machine machine, long now) {
        double bootS = cluster.machineTypeOf(machine).map(MachineType::bootS).orElse(0.0);
        return Durations.secondsSince(machine.launchedAt(), now) < 2 * bootS
                || Durations.secondsSince(machine.knownSince(), now)
                        < 2 * settings.workers().heartbeatIntervalS();
    }

    /** The capacity of those tasks on a machine that are estimated to end before a new machine of its type can boot. */
    private Resources capacityFreedWithinBoot(Machine machine, long now) {
        double bootS = cluster.machineTypeOf(machine).map(MachineType::bootS).orElse(0.0);
        Resources freed = Resources.NONE;
        for (Binding binding : machine.bindings()) {
            double remainingS = binding.job().spec().estimateS() - binding.runTimeS(now);
            boolean isRunning = binding.phase() == Binding.Phase.RUNNING;
            if (isRunning && binding.isExpectedToEnd() && remainingS < bootS && !binding.isProvenGone()) {
                freed = freed.plus(binding.job().spec().taskResources());
            }
        }
        return freed;
    }
}
