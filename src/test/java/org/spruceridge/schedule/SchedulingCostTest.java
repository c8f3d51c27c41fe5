package org.spruceridge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobPriority;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Policy;
import org.spruceridge.sim.Fixtures;

/**
 * Limits the bytes that a scheduling cycle allocates during a burst. The cluster is large and full, and many jobs wait.
 */
final class SchedulingCostTest {
    private static final long NOW = 1_000_000_000_000L;
    private static final long WALL_MS = 1_000_000;
    private static final int MACHINES = 1120;
    private static final int WAITING_JOBS = 150;
    /** A fifth of the bytes that a cycle would allocate if it visited every machine for each job. */
    private static final long MAX_CYCLE_ALLOCATION_BYTES = 3_000_000;

    private final Cluster cluster = new Cluster();
    private final Matching matching = new Matching(MatchingFixture.SETTINGS, Policy.defaults(), 50);
    private int jobCount;

    private Job addJob(JobPriority priority, int tasks, double cpus, double estimateS, double deadlineS) {
        Job job = new Job(
                Fixtures.spec(
                        String.format("j-%06d", ++jobCount),
                        priority,
                        tasks,
                        new Resources(cpus, 0, cpus * 3),
                        estimateS,
                        priority == JobPriority.LOW ? 20 : 0,
                        deadlineS > 0 ? OptionalDouble.of(deadlineS) : OptionalDouble.empty()),
                1,
                WALL_MS - 1000L * jobCount);
        cluster.add(job);
        return job;
    }

    @BeforeEach
    void fillCluster() {
        cluster.updateMachineTypes(ImmutableMap.of(
                "t4", new MachineType("t4", new Resources(4, 0, 16), 1, 0.2, 0.06, 20, ImmutableList.of("a", "b"))));
        Job small = addJob(JobPriority.NORMAL, 10_000, 1, 60, 1e6);
        Job large = addJob(JobPriority.LOW, 10_000, 4, 60, 0);
        for (int i = 0; i < MACHINES; i++) {
            Machine machine =
                    new Machine("i-" + i, "", new MachineKind("t4", i % 2 == 0 ? "a" : "b", i % 3 == 0), NOW, NOW);
            machine.recordHeartbeat(1, 1, "", NOW);
            machine.fencing().fence();
            cluster.add(machine);
            Job running = i % 2 == 0 ? small : large;
            while (running.spec().taskResources().fitsIn(cluster.freeCapacity(machine))) {
                Binding binding =
                        new Binding(running, running.nextWaiting(0), 1, machine, Binding.Stage.COMMITTED, NOW);
                binding.recordPhase(Binding.Phase.RUNNING, NOW);
                cluster.bind(binding);
            }
        }
        small.retryAfter(Long.MAX_VALUE);
        large.retryAfter(Long.MAX_VALUE);
        for (int i = 0; i < WAITING_JOBS; i++) {
            switch (i % 3) {
                case 0 -> addJob(JobPriority.NORMAL, 60, 1, 60, 100 + i);
                case 1 -> addJob(JobPriority.LOW, 20, 4, 60, 0);
                default -> addJob(JobPriority.HIGH, 12, 4, 15, 30 + i);
            }
        }
    }

    @Test
    void cycleOnFullClusterStaysWithinAllocationLimit() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        Plan plan = matching.plan(cluster, NOW, WALL_MS);
        long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
        for (int i = 0; i < 10; i++) {
            matching.plan(cluster, NOW, WALL_MS);
        }
        long bytesPerCycle = (threads.getCurrentThreadAllocatedBytes() - allocatedBefore) / 10;
        assertEquals(0, plan.placements().size());
        assertTrue(plan.preemptions().size() > 0, "the cycle must plan at least one preemption");
        assertTrue(
                bytesPerCycle < MAX_CYCLE_ALLOCATION_BYTES,
                "a cycle must allocate less than the limit; bytes per cycle: " + bytesPerCycle);
    }
}
