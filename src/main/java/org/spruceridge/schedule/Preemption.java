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
import org.spruceridge.schedule.PreemptionSite.Victim;

/** Chooses running tasks to stop for waiting ones of a higher rank that would otherwise miss their deadline. */
final class Preemption {
    private final CycleState state;
    private final double perMachineS;
    private final List<PreemptionSite> sites = new ArrayList<>();
    private final List<Binding> stops = new ArrayList<>();
    private Resources smallestTask = Resources.NONE;
    private JobPriority highestRank = JobPriority.LOW;

    /** {@code perMachineS} is the least time between two stops on one machine. */
    Preemption(CycleState state, double perMachineS) {
        this.state = state;
        this.perMachineS = perMachineS;
    }

    /** The tasks to stop for these jobs, the most urgent of which comes first. */
    List<Binding> stopsFor(Collection<WaitingJob> pressing) {
        if (!pressing.isEmpty()) {
            findSites(pressing);
            pressing.forEach(this::makeRoom);
        }
        return stops;
    }

    /** Only machines that can be of use to one of the jobs are looked at for each of them. */
    private void findSites(Collection<WaitingJob> pressing) {
        smallestTask = Resources.leastOf(
                pressing.stream().map(waiting -> waiting.job().spec().task()));
        for (WaitingJob waiting : pressing) {
            JobPriority priority = waiting.job().spec().priority();
            highestRank = priority.outranks(highestRank) ? priority : highestRank;
        }
        for (MachineCapacity capacity : state.machines()) {
            PreemptionSite site = new PreemptionSite(capacity, mayStopOn(capacity.machine()), state.now());
            if (site.isOfUse(smallestTask, highestRank)) {
                sites.add(site);
            }
        }
    }

    private boolean mayStopOn(Machine machine) {
        return !machine.hasPreempted() || Durations.secondsSince(machine.lastPreemption(), state.now()) >= perMachineS;
    }

    private void makeRoom(WaitingJob waiting) {
        JobSpec spec = waiting.job().spec();
        int wanted = Math.min(waiting.remaining(), state.teamAdmits(spec));
        List<Victim> victims = new ArrayList<>();
        for (PreemptionSite site : sites) {
            if (wanted <= 0) {
                return;
            }
            if (!state.eligible(waiting, site.capacity())) {
                continue;
            }
            int claimed = site.claimExpected(spec.task(), wanted);
            wanted -= claimed;
            Victim victim = claimed > 0 ? null : site.cheapestVictim(spec);
            if (victim != null) {
                victims.add(victim);
            }
        }
        stopCheapest(victims, wanted, spec);
    }

    /** Room for a replica is made on machines that have to be kept for replicas anyway. */
    private void stopCheapest(List<Victim> victims, int wanted, JobSpec spec) {
        Comparator<Victim> order = Comparator.comparingDouble(Victim::lossS);
        if (spec.isService()) {
            order = Comparator.comparingInt((Victim v) -> -v.site().capacity().replicas())
                    .thenComparing(order);
        }
        victims.sort(order);
        int left = wanted;
        for (Victim victim : victims) {
            if (left <= 0) {
                break;
            }
            stops.add(victim.binding());
            left -= victim.site().stop(victim, spec.task(), left);
        }
        sites.removeIf(site -> !site.isOfUse(smallestTask, highestRank));
    }
}
