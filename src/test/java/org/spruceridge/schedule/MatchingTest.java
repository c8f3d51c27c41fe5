package org.spruceridge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobKind;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.sim.Fixtures;

/** What the matching binds, and what it must not. */
final class MatchingTest {
    private static final long NOW = 1_000_000_000_000L;
    private static final long WALL = 1_000_000;

    /** Two teams, of which one has a limit. */
    static final Settings SETTINGS = Fixtures.settings(
            ImmutableMap.of(
                    "red", new Settings.Team("red", 0, 0, 0, 0),
                    "blue", new Settings.Team("blue", 4, 12, 0, 0)),
            new Settings.Workers(2, 14, 30),
            new Settings.State(100, 100, 4, 12),
            new Settings.Cloud(4, 2),
            new Settings.Resources(1, 100, 100));

    private final Cluster cluster = new Cluster();
    private final Matching matching = new Matching(SETTINGS, Policy.defaults(), 50);
    private int jobs;

    @BeforeEach
    void catalogue() {
        cluster.updateTypes(ImmutableMap.of(
                "t8", new MachineType("t8", new Resources(8, 0, 32), 1, 1, 0.3, 20, ImmutableList.of("a", "b"))));
    }

    private Machine machine(String name, String zone, boolean spot) {
        Machine m = new Machine(name, "", new MachineKind("t8", zone, spot), NOW, NOW);
        m.recordHeartbeat(1, 1, "", NOW);
        m.lease().fence();
        cluster.add(m);
        return m;
    }

    private final class JobMaker {
        private String team = "red";
        private JobPriority priority = JobPriority.NORMAL;
        private int tasks = 1;
        private double cpus = 4;
        private Optional<ImmutableSet<String>> types = Optional.empty();
        private Optional<String> zone = Optional.empty();
        private boolean oneZone;
        private boolean spread;
        private boolean spot = true;
        private double estimateS = 30;
        private JobKind kind = JobKind.ARRAY;
        private double checkpointIntervalS;
        private OptionalDouble deadlineS = OptionalDouble.empty();

        Job add() {
            Job job = new Job(
                    new JobSpec(
                            "j-" + (++jobs),
                            "c",
                            team,
                            kind,
                            priority,
                            tasks,
                            new Resources(cpus, 0, 1),
                            types,
                            zone,
                            oneZone,
                            spread,
                            spot,
                            "img",
                            1,
                            estimateS,
                            checkpointIntervalS,
                            1,
                            deadlineS),
                    1,
                    WALL);
            cluster.add(job);
            return job;
        }
    }

    private JobMaker job() {
        return new JobMaker();
    }

    private Plan plan() {
        return matching.plan(cluster, NOW, WALL);
    }

    private static List<String> machines(Plan plan) {
        return plan.placements().stream().map(p -> p.machine().name()).toList();
    }

    private Binding running(Job job, int index, Machine m) {
        Binding b = new Binding(job, index, 1, m, Binding.Stage.COMMITTED, NOW);
        b.recordPhase(Binding.Phase.RUNNING, NOW);
        cluster.bind(b);
        return b;
    }

    @Test
    void tiesGoToTheFullerMachine() {
        machine("empty", "a", false);
        Machine fuller = machine("fuller", "a", false);
        running(job().add(), 0, fuller);
        job().add();
        assertEquals(List.of("fuller"), machines(plan()));
    }

    @Test
    void nothingIsBoundBeyondAMachinesRoom() {
        machine("m", "a", false);
        JobMaker many = job();
        many.tasks = 5;
        Job job = many.add();
        Plan plan = plan();
        assertEquals(2, plan.placements().size());
        assertEquals(3, plan.unplaced().get(job));
    }

    @Test
    void theTeamsLimitCountsEveryBinding() {
        Machine a = machine("a", "a", false);
        machine("b", "a", false);
        JobMaker limited = job();
        limited.team = "blue";
        limited.tasks = 6;
        Job job = limited.add();
        Binding leaving = running(job, 0, a);
        leaving.advanceTo(Binding.Stage.RELEASING); // until its release is on record it may still be there
        Plan plan = plan();
        assertEquals(2, plan.placements().size());
        assertTrue(plan.unplaced().isEmpty(), "what the limit keeps back needs no machine");
    }

    /** A job of many tasks of 2 CPUs, of which some run on the machine. */
    private Job smallTasksOfBlue(int there, Machine m) {
        JobMaker small = job();
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
    void whatIsLeftOfALimitIsHeldForALargeTaskThatComesFirst() {
        machine("b", "a", false);
        Job others = smallTasksOfBlue(4, machine("a", "a", false));
        running(others, 4, machine("c", "a", false)); // 10 of the team's 12 CPUs
        JobMaker large = job();
        large.team = "blue";
        large.estimateS = 20;
        Job first = large.add();
        assertEquals(List.of(), machines(plan()), "the last 2 CPUs are not for another small task");
        JobMaker otherTeam = job();
        otherTeam.estimateS = 60;
        otherTeam.add();
        assertEquals(1, plan().placements().size(), "other teams are not held up");
        cluster.unbind(others.binding(4), NOW);
        assertTrue(plan().placements().stream().anyMatch(p -> p.job() == first));
    }

    @Test
    void aLimitIsNotHeldForATaskThatNoMachineTakes() {
        smallTasksOfBlue(3, machine("a", "a", false));
        JobMaker large = job();
        large.team = "blue";
        large.cpus = 8;
        large.estimateS = 20;
        large.add();
        assertEquals(List.of("a"), machines(plan()));
    }

    @Test
    void roomThatATaskHasLeftIsUsedBeforeThatIsOnRecord() {
        Machine m = machine("m", "a", false);
        JobMaker first = job();
        first.cpus = 8;
        Binding gone = running(first.add(), 0, m);
        JobMaker next = job();
        next.cpus = 8;
        next.add();
        assertEquals(List.of(), machines(plan()));
        gone.advanceTo(Binding.Stage.RELEASING);
        cluster.releaseCapacity(gone);
        cluster.releaseCapacity(gone); // proof may come twice; room is given once
        assertEquals(List.of("m"), machines(plan()));
        cluster.unbind(gone, NOW);
        assertEquals(new Resources(8, 0, 32), cluster.freeCapacity(m));
    }

    @Test
    void aJobStaysInItsZoneTypeAndKind() {
        machine("spot", "a", true);
        machine("wrong-zone", "b", false);
        JobMaker picky = job();
        picky.spot = false;
        picky.zone = Optional.of("a");
        picky.tasks = 2;
        picky.add();
        assertEquals(List.of(), machines(plan()));
        machine("right", "a", false);
        assertEquals(List.of("right", "right"), machines(plan()));
        JobMaker otherType = job();
        otherType.types = Optional.of(ImmutableSet.of("t9"));
        Job never = otherType.add();
        assertTrue(plan().placements().stream().noneMatch(p -> p.job() == never));
    }

    @Test
    void oneZoneFollowsTheTasksThatAreBound() {
        Machine first = machine("in-b", "b", false);
        machine("in-a", "a", false);
        JobMaker together = job();
        together.oneZone = true;
        together.tasks = 4;
        Job job = together.add();
        running(job, 0, first);
        assertEquals(List.of("in-b"), machines(plan()));
    }

    @Test
    void spreadPutsAtMostHalfInAZone() {
        machine("a1", "a", false);
        machine("a2", "a", false);
        machine("b1", "b", false);
        JobMaker apart = job();
        apart.spread = true;
        apart.tasks = 5;
        apart.add();
        List<String> used = machines(plan());
        assertEquals(3, used.stream().filter(n -> n.startsWith("a")).count());
        assertEquals(2, used.stream().filter(n -> n.startsWith("b")).count());
    }

    @Test
    void onlyMachinesThatThisTermHeardAreUsed() {
        Machine unheard = new Machine("unheard", "", new MachineKind("t8", "a", false), NOW, NOW);
        cluster.add(unheard);
        machine("returning", "a", false).markTerminating();
        machine("faulty", "a", false).suspicion().cordon();
        machine("noticed", "a", true).reclaim().announce(NOW + 1);
        job().add();
        assertEquals(List.of(), machines(plan()));
    }

    @Test
    void aPressingTaskStopsLowerWorkOncePerMachineAndMinute() {
        Machine m = machine("m", "a", false);
        JobMaker low = job();
        low.priority = JobPriority.LOW;
        low.tasks = 2;
        Job victimJob = low.add();
        running(victimJob, 0, m);
        running(victimJob, 1, m);
        JobMaker high = job();
        high.priority = JobPriority.HIGH;
        high.tasks = 2;
        high.estimateS = 30;
        high.deadlineS = OptionalDouble.of(40);
        high.add();
        Plan plan = plan();
        assertEquals(1, plan.preemptions().size());
        plan.preemptions().get(0).requestStop(Binding.StopMode.CHECKPOINT);
        m.recordPreemption(NOW);
        assertEquals(0, plan().preemptions().size());
    }

    /** A stop that makes room for several tasks is enough for them: one for each would throw away work for nothing. */
    @Test
    void aStopCountsForAllTasksThatItMakesRoomFor() {
        JobMaker low = job();
        low.priority = JobPriority.LOW;
        low.tasks = 3;
        low.cpus = 8;
        Job victims = low.add();
        for (int i = 0; i < 3; i++) {
            running(victims, i, machine("m" + i, "a", false));
        }
        JobMaker high = job();
        high.priority = JobPriority.HIGH;
        high.tasks = 5;
        high.cpus = 2;
        high.estimateS = 30;
        high.deadlineS = OptionalDouble.of(40);
        high.add();
        assertEquals(2, plan().preemptions().size());
    }

    private JobMaker service(int replicas, double cpus) {
        JobMaker service = job();
        service.kind = JobKind.SERVICE;
        service.priority = JobPriority.PRODUCTION;
        service.tasks = replicas;
        service.cpus = cpus;
        service.estimateS = 0;
        return service;
    }

    /** It has no deadline, and is urgent all the same. */
    @Test
    void aServiceComesFirstAndHasOthersStopped() {
        Machine full = machine("full", "a", false);
        JobMaker low = job();
        low.tasks = 2;
        Job batch = low.add();
        running(batch, 0, full);
        running(batch, 1, full);
        machine("free", "a", false);
        JobMaker urgent = job();
        urgent.deadlineS = OptionalDouble.of(40);
        urgent.tasks = 2;
        urgent.add();
        Job service = service(3, 4).add();
        Plan plan = plan();
        assertEquals(
                List.of(service, service),
                plan.placements().stream().map(Plan.Placement::job).toList());
        assertEquals(List.of("free", "free"), machines(plan));
        assertEquals(1, plan.preemptions().size());
    }

    /** Each on a machine of its own as long as there are any, and first on those that carry replicas already. */
    @Test
    void replicasGoToMachinesWithReplicasAndApart() {
        Machine first = machine("first", "a", false);
        Machine second = machine("second", "a", false);
        machine("third", "a", false);
        Job other = service(2, 1).add();
        running(other, 0, second);
        running(other, 1, second);
        running(job().add(), 0, first);
        service(2, 1).add();
        assertEquals(List.of("second", "first"), machines(plan()));
    }

    @Test
    void aSecondReplicaGoesToAMachineOnlyWhenNoOtherTakesIt() {
        machine("first", "a", false);
        machine("second", "a", false);
        service(5, 1).add();
        List<String> placed = machines(plan());
        assertEquals(2, placed.subList(0, 2).stream().distinct().count());
        assertEquals(5, placed.size());
        assertTrue(placed.stream().filter("first"::equals).count() >= 2);
        assertTrue(placed.stream().filter("second"::equals).count() >= 2);
    }

    /** A replica does not end: no capacity is reserved where only its end would make room. */
    @Test
    void nothingIsReservedForTheEndOfAReplica() {
        Machine m = machine("m", "a", false);
        running(service(1, 4).add(), 0, m);
        JobMaker large = job();
        large.cpus = 8;
        large.add();
        JobMaker small = job();
        small.estimateS = 300;
        Job placed = small.add();
        assertEquals(
                List.of(placed),
                plan().placements().stream().map(Plan.Placement::job).toList());
    }

    /** A machine is about to be taken: its replica is stopped if there is room for it elsewhere, which others do not get. */
    @Test
    void aReplicaMovesWhereRoomIsKeptForIt() {
        Machine leaving = machine("leaving", "a", false);
        Binding replica = running(service(1, 8).add(), 0, leaving);
        leaving.reclaim().announce(NOW + 60_000_000_000L);
        assertEquals(List.of(), plan().evictions());
        machine("other", "a", false);
        job().add();
        Plan plan = plan();
        assertEquals(List.of(replica), plan.evictions());
        assertEquals(List.of(), machines(plan));
        replica.requestStop(Binding.StopMode.CHECKPOINT);
        Plan next = plan();
        assertEquals(List.of(), next.evictions());
        assertEquals(List.of(), machines(next), "the room is kept until the replica is gone");
    }

    @Test
    void workOfTheSameRankIsNeverStopped() {
        Machine m = machine("m", "a", false);
        JobMaker first = job();
        first.tasks = 2;
        Job running = first.add();
        running(running, 0, m);
        running(running, 1, m);
        JobMaker pressing = job();
        pressing.deadlineS = OptionalDouble.of(40);
        pressing.add();
        assertTrue(plan().preemptions().isEmpty());
    }

    @Test
    void theHigherScoreIsServedFirst() {
        machine("m", "a", false);
        JobMaker shorter = job();
        JobMaker longer = job();
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
