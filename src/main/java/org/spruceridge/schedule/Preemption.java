package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.Resources;
import org.spruceridge.net.Durations;
import org.spruceridge.schedule.PreemptionTarget.Victim;

/**
 * Selects running tasks to preempt. Preemptions make room for waiting tasks of a higher priority that would otherwise
 * miss their deadline, and for missing replicas of services.
 */
final class Preemption {
    private final CycleState state;
    private final double minIntervalPerMachineS;
    private final List<PreemptionTarget> targets = new ArrayList<>();
    private final List<Binding> preempted = new ArrayList<>();
    private Resources smallestTask = Resources.NONE;
    private JobPriority highestPriority = JobPriority.LOW;

    /** {@code minIntervalPerMachineS} is the minimum time between two preemptions on one machine, in seconds. */
    Preemption(CycleState state, double minIntervalPerMachineS) {
        this.state = state;
        this.minIntervalPerMachineS = minIntervalPerMachineS;
    }

    /** Returns the running tasks to preempt for the urgent jobs, which are given in descending order of score. */
    List<Binding> selectPreemptions(Collection<WaitingJob> urgentJobs) {
        if (!urgentJobs.isEmpty()) {
            findTargets(urgentJobs);
            urgentJobs.forEach(this::preemptFor);
        }
        return preempted;
    }

    /**
     * Collects the machines that could host a task of one of the jobs. Other machines are left out, to limit the number
     * of targets that are tried for each job.
     */
    private void findTargets(Collection<WaitingJob> urgentJobs) {
        smallestTask = Resources.minOf(
                urgentJobs.stream().map(waiting -> waiting.job().spec().taskResources()));
        for (WaitingJob waiting : urgentJobs) {
            JobPriority priority = waiting.job().spec().priority();
            highestPriority = priority.outranks(highestPriority) ? priority : highestPriority;
        }
        for (MachineCapacity capacity : state.machines()) {
            PreemptionTarget target = new PreemptionTarget(capacity, canPreemptOn(capacity.machine()), state.now());
            if (target.canHost(smallestTask, highestPriority)) {
                targets.add(target);
            }
        }
    }

    private boolean canPreemptOn(Machine machine) {
        return !machine.hasPreempted()
                || Durations.secondsSince(machine.lastPreemption(), state.now()) >= minIntervalPerMachineS;
    }

    private void preemptFor(WaitingJob waiting) {
        JobSpec spec = waiting.job().spec();
        int wanted = Math.min(waiting.unplacedTaskCount(), state.quotas().countAdmissibleTasks(spec));
        List<Victim> victims = new ArrayList<>();
        for (PreemptionTarget target : targets) {
            if (wanted <= 0) {
                return;
            }
            if (!state.isEligible(waiting, target.capacity())) {
                continue;
            }
            int claimedCount = target.claim(spec.taskResources(), wanted);
            wanted -= claimedCount;
            Victim victim = claimedCount > 0 ? null : target.cheapestVictim(spec);
            if (victim != null) {
                victims.add(victim);
            }
        }
        preemptCheapest(victims, wanted, spec);
    }

    /**
     * Preempts the victims with the least lost work until {@code wanted} tasks fit or no victim is left. For a service,
     * victims on machines that already run replicas come first, because these machines have to be kept in any case.
     */
    private void preemptCheapest(List<Victim> victims, int wanted, JobSpec spec) {
        Comparator<Victim> order = Comparator.comparingDouble(Victim::lostWorkS);
        if (spec.isService()) {
            order = Comparator.comparingInt(
                            (Victim victim) -> -victim.target().capacity().replicaCount())
                    .thenComparing(order);
        }
        victims.sort(order);
        int remaining = wanted;
        for (Victim victim : victims) {
            if (remaining <= 0) {
                break;
            }
            preempted.add(victim.binding());
            remaining -= victim.target().preempt(victim, spec.taskResources(), remaining);
        }
        targets.removeIf(target -> !target.canHost(smallestTask, highestPriority));
    }
}
