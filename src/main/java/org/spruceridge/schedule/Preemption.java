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

/** Chooses running tasks to preempt for waiting ones of a higher priority that would otherwise miss their deadline. */
final class Preemption {
    private final CycleState state;
    private final double minIntervalPerMachineS;
    private final List<PreemptionTarget> targets = new ArrayList<>();
    private final List<Binding> preempted = new ArrayList<>();
    private Resources smallestTask = Resources.NONE;
    private JobPriority highestPriority = JobPriority.LOW;

    /** {@code minIntervalPerMachineS} is the least time between two preemptions on one machine. */
    Preemption(CycleState state, double minIntervalPerMachineS) {
        this.state = state;
        this.minIntervalPerMachineS = minIntervalPerMachineS;
    }

    /** The tasks to preempt for these jobs, which are sorted by urgency, the most urgent first. */
    List<Binding> planFor(Collection<WaitingJob> urgentJobs) {
        if (!urgentJobs.isEmpty()) {
            findTargets(urgentJobs);
            urgentJobs.forEach(this::preemptFor);
        }
        return preempted;
    }

    /** Keeps only machines that can be of use to one of the jobs, so that each job is tried on few. */
    private void findTargets(Collection<WaitingJob> urgentJobs) {
        smallestTask = Resources.minOf(
                urgentJobs.stream().map(waiting -> waiting.job().spec().task()));
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
        int wanted = Math.min(waiting.remaining(), state.quotas().admits(spec));
        List<Victim> victims = new ArrayList<>();
        for (PreemptionTarget target : targets) {
            if (wanted <= 0) {
                return;
            }
            if (!state.isEligible(waiting, target.capacity())) {
                continue;
            }
            int claimed = target.claim(spec.task(), wanted);
            wanted -= claimed;
            Victim victim = claimed > 0 ? null : target.cheapestVictim(spec);
            if (victim != null) {
                victims.add(victim);
            }
        }
        preemptCheapest(victims, wanted, spec);
    }

    /** For a replica, machines that carry other replicas come first: they have to be kept anyway. */
    private void preemptCheapest(List<Victim> victims, int wanted, JobSpec spec) {
        Comparator<Victim> order = Comparator.comparingDouble(Victim::lostWorkS);
        if (spec.isService()) {
            order = Comparator.comparingInt(
                            (Victim victim) -> -victim.target().capacity().replicas())
                    .thenComparing(order);
        }
        victims.sort(order);
        int left = wanted;
        for (Victim victim : victims) {
            if (left <= 0) {
                break;
            }
            preempted.add(victim.binding());
            left -= victim.target().preempt(victim, spec.task(), left);
        }
        targets.removeIf(target -> !target.canHost(smallestTask, highestPriority));
    }
}
