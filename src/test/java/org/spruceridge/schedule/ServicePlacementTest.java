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

/** Tests how a scheduling cycle places and evicts replicas of services. */
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

    /** A service counts as urgent although it has no deadline. */
    @Test
    void serviceIsPlacedFirstAndPreemptsOtherJobs() {
        Machine full = addMachine("full", "a", false);
        JobBuilder low = job();
        low.tasks = 2;
        Job batch = low.add();
        bindRunning(batch, 0, full);
        bindRunning(batch, 1, full);
        addMachine("free", "a", false);
        JobBuilder urgent = job();
        urgent.deadlineS = OptionalDouble.of(40);
        urgent.tasks = 2;
        urgent.add();
        Job service = service(3, 4).add();
        Plan plan = plan();
        assertEquals(
                List.of(service, service),
                plan.placements().stream().map(Plan.Placement::job).toList());
        assertEquals(List.of("free", "free"), machineNames(plan));
        assertEquals(1, plan.preemptions().size());
    }

    /** Each replica gets a separate machine while one is available. Machines that already run replicas come first. */
    @Test
    void replicasSpreadAndPreferMachinesWithOtherReplicas() {
        Machine first = addMachine("first", "a", false);
        Machine second = addMachine("second", "a", false);
        addMachine("third", "a", false);
        Job other = service(2, 1).add();
        bindRunning(other, 0, second);
        bindRunning(other, 1, second);
        bindRunning(job().add(), 0, first);
        service(2, 1).add();
        assertEquals(List.of("second", "first"), machineNames(plan()));
    }

    @Test
    void machineGetsSecondReplicaOnlyIfNoOtherMachineFits() {
        addMachine("first", "a", false);
        addMachine("second", "a", false);
        service(5, 1).add();
        List<String> placed = machineNames(plan());
        assertEquals(2, placed.subList(0, 2).stream().distinct().count());
        assertEquals(5, placed.size());
        assertTrue(placed.stream().filter("first"::equals).count() >= 2);
        assertTrue(placed.stream().filter("second"::equals).count() >= 2);
    }

    /**
     * Replicas do not end. Therefore no capacity is reserved on a machine that has room only after a replica has ended.
     */
    @Test
    void capacityHeldByReplicaIsNotReserved() {
        Machine machine = addMachine("m", "a", false);
        bindRunning(service(1, 4).add(), 0, machine);
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

    /**
     * Capacity is reserved for a replica on a machine that the cloud reclaims. Other jobs do not get the reserved
     * capacity.
     */
    @Test
    void replicaOnReclaimedMachineIsEvictedOnlyWithReplacementCapacity() {
        Machine reclaimed = addMachine("leaving", "a", false);
        Binding replica = bindRunning(service(1, 8).add(), 0, reclaimed);
        reclaimed.reclaim().announce(NOW + 60_000_000_000L);
        assertEquals(List.of(), plan().evictions());
        addMachine("other", "a", false);
        job().add();
        Plan plan = plan();
        assertEquals(List.of(replica), plan.evictions());
        assertEquals(List.of(), machineNames(plan));
        replica.requestStop(Binding.StopMode.CHECKPOINT);
        Plan next = plan();
        assertEquals(List.of(), next.evictions());
        assertEquals(
                List.of(), machineNames(next), "the replacement capacity must stay reserved until the replica is gone");
    }
}
