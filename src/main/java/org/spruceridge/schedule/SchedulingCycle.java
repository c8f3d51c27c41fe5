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
 * One walk over the matrix, from the highest score down. Its cost follows the waiting jobs and the machines that have
 * room: entries at which nothing can be bound are left out, but for the best entry of each job, at which reservations
 * are made.
 */
final class SchedulingCycle {
    private static final Comparator<Entry> WALK_ORDER = Comparator.comparingDouble((Entry e) -> -e.score())
            .thenComparingLong(e -> e.candidate().job().submittedMs())
            .thenComparing(e -> e.candidate().job().id());

    private final CycleState state;
    private final PriorityMatrix matrix;
    private final Reservations reservations;
    private final Preemption preemption;
    private final Map<Job, WaitingJob> waitingJobs;
    private final Map<MachineGroup, GroupCapacity> groups;
    private final List<Placement> placements = new ArrayList<>();

    SchedulingCycle(CycleState state, PriorityMatrix matrix, Estimates estimates, Policy policy, long wallMs) {
        this.state = state;
        this.matrix = matrix;
        this.reservations =
                new Reservations(state, estimates, policy.scheduling().reservedShare());
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
            if (waiting.firstVisit()) {
                reservations.reserveFor(waiting);
                if (waiting.job().spec().isService()) {
                    placeReplicas(waiting, entries, smallestTask);
                }
            }
            placeIn(groups.get(entry.group()), waiting, smallestTask);
        }
        return new Plan(
                ImmutableList.copyOf(placements),
                ImmutableList.copyOf(preemption.planFor(urgentJobs(entries))),
                evictions,
                unplaced(),
                groups.size());
    }

    /** At most what any waiting task takes, by each resource: where this does not fit, none does. */
    private Resources smallestTask() {
        return Resources.minOf(
                waitingJobs.keySet().stream().map(job -> job.spec().task()));
    }

    private List<Entry> entries() {
        List<Entry> entries = matrix.entries(
                waitingJobs.values().stream().map(WaitingJob::candidate).collect(ImmutableList.toImmutableList()),
                ImmutableList.copyOf(groups.keySet()),
                (candidate, group) -> waitingJobs
                        .get(candidate.job())
                        .allows(groups.get(group).kindIndex()),
                (candidate, group) ->
                        groups.get(group).hasRoomFor(candidate.job().spec().task()));
        entries.sort(WALK_ORDER);
        return entries;
    }

    /**
     * Replicas to evict because the cloud is about to reclaim their machine: those for which there is room elsewhere. The
     * room is reserved in each cycle until the replica is gone, which is then placed like any that is missing.
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
     * Binds the replicas of a service, on machines that carry replicas of others already, so that few machines have to be
     * kept for services; but spread over machines, so that the failure of one takes few: a machine gets a second replica
     * only when no other can take it. Equal machines are taken by the order of the service's entries. All of these come
     * before those of jobs that it outscores, so that the walk would bind the same number.
     */
    private void placeReplicas(WaitingJob service, List<Entry> entries, Resources smallestTask) {
        List<GroupCapacity> ranked = entries.stream()
                .filter(entry -> entry.candidate().job() == service.job())
                .map(entry -> groups.get(entry.group()))
                .toList();
        int tasks = service.job().spec().tasks();
        for (int max = 1; canPlace(service) && max < 2 * tasks; max *= 2) {
            MachineCapacity next = nextFor(service, ranked, max);
            while (next != null) {
                place(service, next);
                next = canPlace(service) ? nextFor(service, ranked, max) : null;
            }
        }
        ranked.forEach(group -> group.dropFull(smallestTask));
    }

    private MachineCapacity nextFor(WaitingJob service, List<GroupCapacity> ranked, int max) {
        MachineCapacity best = null;
        for (GroupCapacity group : ranked) {
            MachineCapacity candidate = group.mostReplicasFor(service, state, max);
            if (candidate != null && (best == null || candidate.replicas() > best.replicas())) {
                best = candidate;
            }
        }
        return best;
    }

    private void place(WaitingJob waiting, MachineCapacity capacity) {
        state.place(waiting.job(), capacity);
        placements.add(new Placement(waiting.job(), waiting.takeNext(), capacity.machine()));
    }

    /** Binds what the machines of one group take, always on the fullest that still has room. */
    private void placeIn(GroupCapacity group, WaitingJob waiting, Resources smallestTask) {
        Job job = waiting.job();
        while (canPlace(waiting)) {
            MachineCapacity fullest = group.fullestFor(waiting, state);
            if (fullest == null) {
                return;
            }
            // It stays the fullest until no more of these tasks fit.
            while (canPlace(waiting) && fullest.fits(job.spec().task()) && state.isEligible(waiting, fullest)) {
                place(waiting, fullest);
            }
            group.dropFull(smallestTask);
        }
    }

    private boolean canPlace(WaitingJob waiting) {
        return waiting.remaining() > 0 && state.quotas().admits(waiting.job().spec()) > 0;
    }

    /** Services that miss replicas, and jobs that can still meet their deadline if they begin now, the best score first. */
    private List<WaitingJob> urgentJobs(List<Entry> entries) {
        Map<Job, WaitingJob> urgentJobs = new LinkedHashMap<>();
        for (Entry entry : entries) {
            WaitingJob waiting = waitingJobs.get(entry.candidate().job());
            boolean urgent = waiting.job().spec().isService() || (entry.urgency() > 0 && entry.urgency() < 1);
            if (urgent && waiting.remaining() > 0) {
                urgentJobs.putIfAbsent(waiting.job(), waiting);
            }
        }
        return List.copyOf(urgentJobs.values());
    }

    private ImmutableMap<Job, Integer> unplaced() {
        ImmutableMap.Builder<Job, Integer> unplaced = ImmutableMap.builder();
        for (WaitingJob waiting : waitingJobs.values()) {
            Job job = waiting.job();
            int wanted = job.failsOnManyMachines()
                    ? 0
                    : Math.min(waiting.remaining(), state.quotas().admits(job.spec()));
            if (wanted > 0) {
                unplaced.put(job, wanted);
            }
        }
        return unplaced.build();
    }
}
