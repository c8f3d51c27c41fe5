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

/** What a scheduling cycle places, within capacity, quota, zones and machine kinds. */
final class MatchingTest extends MatchingFixture {
    @Test
    void equalScoresGoToTheFullerMachine() {
        machine("empty", "a", false);
        Machine fuller = machine("fuller", "a", false);
        running(job().add(), 0, fuller);
        job().add();
        assertEquals(List.of("fuller"), machines(plan()));
    }

    @Test
    void placementsStayWithinAMachinesCapacity() {
        machine("m", "a", false);
        JobBuilder many = job();
        many.tasks = 5;
        Job job = many.add();
        Plan plan = plan();
        assertEquals(2, plan.placements().size());
        assertEquals(3, plan.unplaced().get(job));
    }

    @Test
    void quotaCountsEveryBindingUntilItsReleaseIsRecorded() {
        Machine a = machine("a", "a", false);
        machine("b", "a", false);
        JobBuilder limited = job();
        limited.team = "blue";
        limited.tasks = 6;
        Job job = limited.add();
        Binding leaving = running(job, 0, a);
        leaving.advanceTo(Binding.Stage.RELEASING); // until its release is recorded it may still run
        Plan plan = plan();
        assertEquals(2, plan.placements().size());
        assertTrue(plan.unplaced().isEmpty(), "tasks over quota need no machine");
    }

    /** A job of many tasks of 2 CPUs, of which some run on the machine. */
    private Job smallTasksOfBlue(int there, Machine m) {
        JobBuilder small = job();
        small.team = "blue";
        small.cpus = 2;
        small.tasks = 9;
        small.estimateS = 60;
        Job job = small.add();
        for (int i = 0; i < there; i++) {
            running(job, i, m);
        }
        return job;
    }

    @Test
    void remainingQuotaIsReservedForALargeTaskWithTheHigherScore() {
        machine("b", "a", false);
        Job others = smallTasksOfBlue(4, machine("a", "a", false));
        running(others, 4, machine("c", "a", false)); // 10 of the team's 12 CPUs
        JobBuilder large = job();
        large.team = "blue";
        large.estimateS = 20;
        Job first = large.add();
        assertEquals(List.of(), machines(plan()), "the last 2 CPUs are not for another small task");
        JobBuilder otherTeam = job();
        otherTeam.estimateS = 60;
        otherTeam.add();
        assertEquals(1, plan().placements().size(), "other teams are not blocked");
        cluster.unbind(others.binding(4), NOW);
        assertTrue(plan().placements().stream().anyMatch(p -> p.job() == first));
    }

    @Test
    void quotaIsNotReservedForATaskThatNoMachineFits() {
        smallTasksOfBlue(3, machine("a", "a", false));
        JobBuilder large = job();
        large.team = "blue";
        large.cpus = 8;
        large.estimateS = 20;
        large.add();
        assertEquals(List.of("a"), machines(plan()));
    }

    @Test
    void capacityOfAVacatedTaskIsReusedBeforeItsReleaseIsRecorded() {
        Machine m = machine("m", "a", false);
        JobBuilder first = job();
        first.cpus = 8;
        Binding gone = running(first.add(), 0, m);
        JobBuilder next = job();
        next.cpus = 8;
        next.add();
        assertEquals(List.of(), machines(plan()));
        gone.advanceTo(Binding.Stage.RELEASING);
        cluster.releaseCapacity(gone);
        cluster.releaseCapacity(gone); // proof may come twice; the capacity is freed once
        assertEquals(List.of("m"), machines(plan()));
        cluster.unbind(gone, NOW);
        assertEquals(new Resources(8, 0, 32), cluster.freeCapacity(m));
    }

    @Test
    void jobRunsOnlyOnItsAllowedZoneTypeAndKind() {
        machine("spot", "a", true);
        machine("wrong-zone", "b", false);
        JobBuilder picky = job();
        picky.spot = false;
        picky.zone = Optional.of("a");
        picky.tasks = 2;
        picky.add();
        assertEquals(List.of(), machines(plan()));
        machine("right", "a", false);
        assertEquals(List.of("right", "right"), machines(plan()));
        JobBuilder otherType = job();
        otherType.types = Optional.of(ImmutableSet.of("t9"));
        Job never = otherType.add();
        assertTrue(plan().placements().stream().noneMatch(p -> p.job() == never));
    }

    @Test
    void oneZoneJobFollowsItsBoundTasks() {
        Machine first = machine("in-b", "b", false);
        machine("in-a", "a", false);
        JobBuilder together = job();
        together.oneZone = true;
        together.tasks = 4;
        Job job = together.add();
        running(job, 0, first);
        assertEquals(List.of("in-b"), machines(plan()));
    }

    @Test
    void spreadJobPutsAtMostHalfOfItsTasksInAZone() {
        machine("a1", "a", false);
        machine("a2", "a", false);
        machine("b1", "b", false);
        JobBuilder apart = job();
        apart.spread = true;
        apart.tasks = 5;
        apart.add();
        List<String> used = machines(plan());
        assertEquals(3, used.stream().filter(n -> n.startsWith("a")).count());
        assertEquals(2, used.stream().filter(n -> n.startsWith("b")).count());
    }

    @Test
    void machinesWithoutAHeartbeatTerminatingOrCordonedGetNothing() {
        Machine unheard = new Machine("unheard", "", new MachineKind("t8", "a", false), NOW, NOW);
        cluster.add(unheard);
        machine("returning", "a", false).markTerminating();
        machine("faulty", "a", false).suspicion().cordon();
        machine("noticed", "a", true).reclaim().announce(NOW + 1);
        job().add();
        assertEquals(List.of(), machines(plan()));
    }

    @Test
    void higherScoreIsPlacedFirst() {
        machine("m", "a", false);
        JobBuilder shorter = job();
        JobBuilder longer = job();
        longer.estimateS = 300;
        longer.cpus = 8;
        shorter.cpus = 8;
        Job later = longer.add();
        Job sooner = shorter.add();
        Plan plan = plan();
        assertEquals(sooner, plan.placements().get(0).job());
        assertEquals(1, plan.unplaced().get(later));
    }
}
