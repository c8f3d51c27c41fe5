package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Policy;
import org.spruceridge.schedule.Plan.Placement;
import org.spruceridge.schedule.PriorityMatrix.Entry;

/**
 * One greedy pass over the matrix in descending order of score. The cost of the pass grows with the number of waiting
 * jobs and the number of machines with room, because the matrix omits entries without room. The exception is the best
 * entry of each job, which is always present, because reservations for the job are made at this entry.
 */
final class SchedulingCycle {
    private static final Comparator<Entry> DESCENDING_SCORE = Comparator.comparingDouble((Entry e) -> -e.score())
            .thenComparingLong(e -> e.candidate().job().submittedMs())
            .thenComparing(e -> e.candidate().job().id());

    private final CycleState state;
    private final PriorityMatrix matrix;
    private final Reservations reservations;
    private final Preemption preemption;
    private final Map<Job, WaitingJob> waitingJobs;
    private final Map<MachineGroup, GroupCapacity> groups;
    private final List<Placement> placements = new ArrayList<>();

    SchedulingCycle(
            CycleState state, PriorityMatrix matrix, RemainingTimeEstimator estimator, Policy policy, long wallMs) {
        this.state = state;
        this.matrix = matrix;
        this.reservations =
                new Reservations(state, estimator, policy.scheduling().reservedShare());
        this.preemption = new Preemption(state, policy.preemption().minIntervalPerMachineS());
        this.waitingJobs = state.waitingJobs(wallMs);
        this.groups = state.groups();
    }

    Plan run() {
        ImmutableList<Binding> evictions = evictions();
        if (waitingJobs.isEmpty()) {
            return new Plan(ImmutableList.of(), ImmutableList.of(), evictions, ImmutableMap.of(), groups.size());
        }
        Resources smallestTask = smallestTask();
        groups.values().forEach(group -> group.dropFull(smallestTask));
        List<Entry> entries = entries();
        for (Entry entry : entries) {
            WaitingJob waiting = waitingJobs.get(entry.candidate().job());
            if (waiting.markVisited()) {
                reservations.reserveFor(waiting);
                if (waiting.job().spec().isService()) {
                    placeReplicas(waiting, entries, smallestTask);
                }
            }
            placeOnGroup(groups.get(entry.group()), waiting, smallestTask);
        }
        new TrialPlacements(state).select(waitingJobs.values(), this::place);
        return new Plan(
                ImmutableList.copyOf(placements),
                ImmutableList.copyOf(preemption.selectPreemptions(urgentJobs(entries))),
                evictions,
                unplacedTaskCounts(),
                groups.size());
    }

    /**
     * Returns the minimum of each resource over all waiting tasks. A machine without room for these minimums cannot
     * take any waiting task.
     */
    private Resources smallestTask() {
        return Resources.minOf(
                waitingJobs.keySet().stream().map(job -> job.spec().taskResources()));
    }

    private List<Entry> entries() {
        List<Entry> entries = matrix.entries(
                waitingJobs.values().stream().map(WaitingJob::candidate).collect(ImmutableList.toImmutableList()),
                ImmutableList.copyOf(groups.keySet()),
                (candidate, group) -> waitingJobs
                        .get(candidate.job())
                        .allows(groups.get(group).kindIndex()),
                (candidate, group) ->
                        groups.get(group).hasRoomFor(candidate.job().spec().taskResources()));
        entries.sort(DESCENDING_SCORE);
        return entries;
    }

    /**
     * Selects replicas to evict from machines that the cloud is about to reclaim. A replica is selected only if another
     * machine has room for it. Each cycle reserves that room until the replica is gone. The replica is then placed like
     * any other missing replica.
     */
    private ImmutableList<Binding> evictions() {
        ImmutableList.Builder<Binding> evictions = ImmutableList.builder();
        for (Binding evicted : state.replicasToEvict()) {
            if (state.reserveReplacement(evicted) && evicted.stopMode() == Binding.StopMode.NONE) {
                evictions.add(evicted);
            }
        }
        return evictions.build();
    }

    /**
     * Places the replicas of a service. Machines that already run replicas of other services come first, to keep few
     * machines for services. The replicas are spread, to limit the number of replicas that a machine failure affects: a
     * machine gets a second replica only if no other machine can take it. Ties are broken by the order of the service's
     * entries. All replicas are placed before the tasks of jobs with a lower score. Therefore the number of placed
     * replicas is the same as if each entry were processed in turn.
     */
    private void placeReplicas(WaitingJob service, List<Entry> entries, Resources smallestTask) {
        List<GroupCapacity> rankedGroups = entries.stream()
                .filter(entry -> entry.candidate().job() == service.job())
                .map(entry -> groups.get(entry.group()))
                .toList();
        int tasks = service.job().spec().taskCount();
        for (int maxReplicas = 1; canPlace(service) && maxReplicas < 2 * tasks; maxReplicas *= 2) {
            MachineCapacity next = nextMachineFor(service, rankedGroups, maxReplicas);
            while (next != null) {
                place(service, next);
                next = canPlace(service) ? nextMachineFor(service, rankedGroups, maxReplicas) : null;
            }
        }
        rankedGroups.forEach(group -> group.dropFull(smallestTask));
    }

    private MachineCapacity nextMachineFor(WaitingJob service, List<GroupCapacity> rankedGroups, int maxReplicas) {
        MachineCapacity best = null;
        for (GroupCapacity group : rankedGroups) {
            MachineCapacity capacity = group.machineWithMostReplicasFor(service, state, maxReplicas);
            if (capacity != null && (best == null || capacity.replicaCount() > best.replicaCount())) {
                best = capacity;
            }
        }
        return best;
    }

    private void place(WaitingJob waiting, MachineCapacity capacity) {
        state.place(waiting.job(), capacity);
        placements.add(new Placement(waiting.job(), waiting.takeNextTaskIndex(), capacity.machine()));
    }

    /**
     * Places as many tasks of the job as fit on the machines of one group. Each task goes to the fullest machine that
     * still has room.
     */
    private void placeOnGroup(GroupCapacity group, WaitingJob waiting, Resources smallestTask) {
        Job job = waiting.job();
        while (canPlace(waiting)) {
            MachineCapacity fullest = group.fullestMachineFor(waiting, state);
            if (fullest == null) {
                return;
            }
            // Each placement keeps this machine the fullest, so the loop continues until no more tasks of the job fit
            // on it.
            while (canPlace(waiting)
                    && fullest.fits(job.spec().taskResources())
                    && state.isEligible(waiting, fullest)) {
                place(waiting, fullest);
            }
            group.dropFull(smallestTask);
        }
    }

    private boolean canPlace(WaitingJob waiting) {
        return waiting.unplacedTaskCount() > 0
                && state.quotas().countAdmissibleTasks(waiting.job().spec()) > 0;
    }

    /**
     * Returns the urgent jobs with unplaced tasks, in descending order of score. Every service is urgent. Any other job
     * is urgent if its urgency is strictly between 0 and 1: it can still meet its deadline if it starts now.
     */
    private List<WaitingJob> urgentJobs(List<Entry> entries) {
        Map<Job, WaitingJob> urgentJobs = new LinkedHashMap<>();
        for (Entry entry : entries) {
            WaitingJob waiting = waitingJobs.get(entry.candidate().job());
            boolean isUrgent = waiting.job().spec().isService() || (entry.urgency() > 0 && entry.urgency() < 1);
            if (isUrgent && waiting.unplacedTaskCount() > 0) {
                urgentJobs.putIfAbsent(waiting.job(), waiting);
            }
        }
        return List.copyOf(urgentJobs.values());
    }

    private ImmutableMap<Job, Integer> unplacedTaskCounts() {
        ImmutableMap.Builder<Job, Integer> unplaced = ImmutableMap.builder();
        for (WaitingJob waiting : waitingJobs.values()) {
            Job job = waiting.job();
            int wanted = job.failsOnManyMachines()
                    ? 0
                    : Math.min(waiting.unplacedTaskCount(), state.quotas().countAdmissibleTasks(job.spec()));
            if (wanted > 0) {
                unplaced.put(job, wanted);
            }
        }
        return unplaced.build();
    }
}
