package org.spruceridge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobKind;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.Machine;

/** How a scheduling cycle places and evicts the replicas of services. */
final class ServicePlacementTest extends MatchingFixture {
    private JobBuilder service(int replicas, double cpus) {
        JobBuilder service = job();
        service.kind = JobKind.SERVICE;
        service.priority = JobPriority.PRODUCTION;
        service.tasks = replicas;
        service.cpus = cpus;
        service.estimateS = 0;
        return service;
    }

    /** It has no deadline, and counts as urgent all the same. */
    @Test
    void serviceIsPlacedFirstAndPreemptsOthers() {
        Machine full = machine("full", "a", false);
        JobBuilder low = job();
        low.tasks = 2;
        Job batch = low.add();
        running(batch, 0, full);
        running(batch, 1, full);
        machine("free", "a", false);
        JobBuilder urgent = job();
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
    void replicasSpreadOverMachinesWithOtherReplicasFirst() {
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
    void secondReplicaOnAMachineOnlyWhenNoOtherFits() {
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
    void noReservationWaitsForTheEndOfAReplica() {
        Machine m = machine("m", "a", false);
        running(service(1, 4).add(), 0, m);
        JobBuilder large = job();
        large.cpus = 8;
        large.add();
        JobBuilder small = job();
        small.estimateS = 300;
        Job placed = small.add();
        assertEquals(
                List.of(placed),
                plan().placements().stream().map(Plan.Placement::job).toList());
    }

    /** Of a machine that the cloud reclaims; other jobs do not get the reserved capacity. */
    @Test
    void replicaOnAReclaimedMachineIsEvictedOnlyWithRoomReservedOnAnother() {
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
        assertEquals(List.of(), machines(next), "the capacity stays reserved until the replica is gone");
    }
}
