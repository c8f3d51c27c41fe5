package org.spruceridge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.Resources;

/** Tests the placements of a scheduling cycle: machine capacity, team quotas, zones and machine kinds limit them. */
final class MatchingTest extends MatchingFixture {
    @Test
    void taskIsPlacedOnFullerMachineOfSameKind() {
        addMachine("empty", "a", false);
        Machine fuller = addMachine("fuller", "a", false);
        bindRunning(job().add(), 0, fuller);
        job().add();
        assertEquals(List.of("fuller"), machineNames(plan()));
    }

    @Test
    void placementsStayWithinMachineCapacity() {
        addMachine("m", "a", false);
        JobBuilder largeJob = job();
        largeJob.tasks = 5;
        Job job = largeJob.add();
        Plan plan = plan();
        assertEquals(2, plan.placements().size());
        assertEquals(3, plan.unplacedTaskCounts().get(job));
    }

    @Test
    void quotaCountsBindingUntilReleaseIsRecorded() {
        Machine machine = addMachine("a", "a", false);
        addMachine("b", "a", false);
        JobBuilder limited = job();
        limited.team = "blue";
        limited.tasks = 6;
        Job job = limited.add();
        Binding releasingBinding = bindRunning(job, 0, machine);
        releasingBinding.advanceTo(Binding.Stage.RELEASING); // the task may still run until its release is recorded
        Plan plan = plan();
        assertEquals(2, plan.placements().size());
        assertTrue(
                plan.unplacedTaskCounts().isEmpty(), "tasks that exceed the team's quota must not count as unplaced");
    }

    /**
     * Adds a job of team blue with nine tasks of 2 CPUs. Its first {@code runningTasks} tasks already run on the
     * machine.
     */
    private Job addBlueJobWithSmallTasks(int runningTasks, Machine machine) {
        JobBuilder small = job();
        small.team = "blue";
        small.cpus = 2;
        small.tasks = 9;
        small.estimateS = 60;
        Job job = small.add();
        for (int i = 0; i < runningTasks; i++) {
            bindRunning(job, i, machine);
        }
        return job;
    }

    @Test
    void remainingQuotaIsReservedForHigherScoringLargeTask() {
        addMachine("b", "a", false);
        Job others = addBlueJobWithSmallTasks(4, addMachine("a", "a", false));
        bindRunning(others, 4, addMachine("c", "a", false)); // the team uses 10 of its 12 CPUs
        JobBuilder large = job();
        large.team = "blue";
        large.estimateS = 20;
        Job first = large.add();
        assertEquals(List.of(), machineNames(plan()), "the last 2 CPUs of the quota must not go to a small task");
        JobBuilder otherTeam = job();
        otherTeam.estimateS = 60;
        otherTeam.add();
        assertEquals(1, plan().placements().size(), "a task of another team must be placed despite the reserved quota");
        cluster.unbind(others.binding(4), NOW);
        assertTrue(plan().placements().stream().anyMatch(p -> p.job() == first));
    }

    @Test
    void quotaIsNotReservedForTaskThatFitsOnNoMachine() {
        addBlueJobWithSmallTasks(3, addMachine("a", "a", false));
        JobBuilder large = job();
        large.team = "blue";
        large.cpus = 8;
        large.estimateS = 20;
        large.add();
        assertEquals(List.of("a"), machineNames(plan()));
    }

    @Test
    void freedCapacityIsReusedBeforeReleaseIsRecorded() {
        Machine machine = addMachine("m", "a", false);
        JobBuilder first = job();
        first.cpus = 8;
        Binding endedBinding = bindRunning(first.add(), 0, machine);
        JobBuilder next = job();
        next.cpus = 8;
        next.add();
        assertEquals(List.of(), machineNames(plan()));
        endedBinding.advanceTo(Binding.Stage.RELEASING);
        cluster.releaseCapacity(endedBinding);
        cluster.releaseCapacity(endedBinding); // a repeated release must not free the capacity again
        assertEquals(List.of("m"), machineNames(plan()));
        cluster.unbind(endedBinding, NOW);
        assertEquals(new Resources(8, 0, 32), cluster.freeCapacity(machine));
    }

    @Test
    void tasksArePlacedOnlyOnMachinesOfAllowedKind() {
        addMachine("spot", "a", true);
        addMachine("wrong-zone", "b", false);
        JobBuilder constrained = job();
        constrained.spot = false;
        constrained.zone = Optional.of("a");
        constrained.tasks = 2;
        constrained.add();
        assertEquals(List.of(), machineNames(plan()));
        addMachine("right", "a", false);
        assertEquals(List.of("right", "right"), machineNames(plan()));
        JobBuilder otherType = job();
        otherType.types = Optional.of(ImmutableSet.of("t9"));
        Job otherTypeJob = otherType.add();
        assertTrue(plan().placements().stream().noneMatch(p -> p.job() == otherTypeJob));
    }

    @Test
    void oneZoneJobStaysInZoneOfBoundTasks() {
        Machine first = addMachine("in-b", "b", false);
        addMachine("in-a", "a", false);
        JobBuilder oneZoneJob = job();
        oneZoneJob.oneZone = true;
        oneZoneJob.tasks = 4;
        Job job = oneZoneJob.add();
        bindRunning(job, 0, first);
        assertEquals(List.of("in-b"), machineNames(plan()));
    }

    @Test
    void spreadJobPlacesAtMostHalfOfTasksRoundedUpPerZone() {
        addMachine("a1", "a", false);
        addMachine("a2", "a", false);
        addMachine("b1", "b", false);
        JobBuilder spreadJob = job();
        spreadJob.spread = true;
        spreadJob.tasks = 5;
        spreadJob.add();
        List<String> machineNames = machineNames(plan());
        assertEquals(3, machineNames.stream().filter(n -> n.startsWith("a")).count());
        assertEquals(2, machineNames.stream().filter(n -> n.startsWith("b")).count());
    }

    @Test
    void unschedulableMachinesGetNoTasks() {
        Machine withoutHeartbeat = new Machine("unheard", "", new MachineKind("t8", "a", false), NOW, NOW);
        cluster.add(withoutHeartbeat);
        addMachine("returning", "a", false).markTerminating();
        addMachine("faulty", "a", false).taskFailures().cordon(NOW);
        addMachine("noticed", "a", true).reclaim().announce(NOW + 1);
        job().add();
        assertEquals(List.of(), machineNames(plan()));
    }

    @Test
    void jobWithHigherScoreIsPlacedFirst() {
        addMachine("m", "a", false);
        JobBuilder shorter = job();
        JobBuilder longer = job();
        longer.estimateS = 300;
        longer.cpus = 8;
        shorter.cpus = 8;
        Job longerJob = longer.add();
        Job shorterJob = shorter.add();
        Plan plan = plan();
        assertEquals(shorterJob, plan.placements().get(0).job());
        assertEquals(1, plan.unplacedTaskCounts().get(longerJob));
    }
}
