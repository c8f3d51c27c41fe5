package org.spruceridge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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

/**
 * Compares the matching, which groups equal machines, with the paper's matching over all pairs of a job and a machine.
 * The test uses small random cluster states and makes no reservations.
 */
final class MatchingReferenceTest {
    private static final long NOW = 1_000_000_000_000L;
    private static final long WALL_MS = 1_000_000;
    private static final ImmutableMap<String, MachineType> TYPES = ImmutableMap.of(
            "t4", new MachineType("t4", new Resources(4, 0, 16), 1, 0.2, 0.06, 20, ImmutableList.of("a", "b")),
            "t8", new MachineType("t8", new Resources(8, 0, 32), 1, 0.5, 0.11, 20, ImmutableList.of("a", "b")));
    private static final Policy NO_RESERVATIONS = new Policy(
            Policy.defaults().weights(),
            new Policy.Scheduling(0.1, 10, 0, 240),
            Policy.defaults().preemption(),
            Policy.defaults().leadership(),
            Policy.defaults().fleet());

    private final Cluster cluster = new Cluster();
    private final List<Job> jobs = new ArrayList<>();
    private final List<Machine> machines = new ArrayList<>();

    private Job addJob(SplittableRandom random, int tasks, long submittedMs) {
        double cpus = 1 << random.nextInt(3);
        Job job = new Job(
                new JobSpec(
                        String.format("j-%06d", jobs.size()),
                        "c",
                        random.nextInt(3) == 0 ? "blue" : "red",
                        JobKind.ARRAY,
                        JobPriority.NORMAL,
                        tasks,
                        new Resources(cpus, 0, 1),
                        Optional.empty(),
                        random.nextInt(4) == 0 ? Optional.of("b") : Optional.empty(),
                        false,
                        false,
                        random.nextInt(3) > 0,
                        "img",
                        1,
                        10 + random.nextInt(90),
                        0,
                        0,
                        random.nextBoolean() ? OptionalDouble.of(20 + random.nextInt(200)) : OptionalDouble.empty()),
                1,
                submittedMs);
        jobs.add(job);
        cluster.add(job);
        return job;
    }

    private void buildClusterState(SplittableRandom random, int machineCount, int jobCount) {
        cluster.updateMachineTypes(TYPES);
        Job running = addJob(random, 10_000, WALL_MS - 5000);
        for (int i = 0; i < machineCount; i++) {
            String type = random.nextBoolean() ? "t4" : "t8";
            String zone = random.nextBoolean() ? "a" : "b";
            Machine machine = new Machine("m" + i, "", new MachineKind(type, zone, random.nextBoolean()), NOW, NOW);
            machine.recordHeartbeat(1, 1, "", NOW);
            machine.fencing().fence();
            cluster.add(machine);
            machines.add(machine);
            int runningTasks = random.nextInt(4);
            for (int task = 0;
                    task < runningTasks && running.spec().taskResources().fitsIn(cluster.freeCapacity(machine));
                    task++) {
                int index = running.nextWaiting(0);
                cluster.bind(new Binding(running, index, 1, machine, Binding.Stage.COMMITTED, NOW));
            }
        }
        running.cancel(NOW, NOW); // the job's bound tasks stay, and no more of its tasks are placed
        for (int i = 0; i < jobCount; i++) {
            addJob(random, 1 + random.nextInt(8), WALL_MS - random.nextInt(100_000));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void groupedMatchingEqualsPairwiseMatching(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        buildClusterState(random, 3 + random.nextInt(10), 2 + random.nextInt(8));
        List<String> plan = new Matching(MatchingFixture.SETTINGS, NO_RESERVATIONS, 50)
                .plan(cluster, NOW, WALL_MS).placements().stream()
                        .map(p -> p.job().id() + " on " + p.machine().name())
                        .toList();
        assertEquals(new ReferenceMatching(cluster, TYPES, jobs, machines, WALL_MS).placements(), plan);
    }

    @Test
    void matrixHasOneColumnPerMachineGroup() {
        buildClusterState(new SplittableRandom(1), 1500, 60);
        List<MachineGroup> groups = new ArrayList<>();
        for (Machine machine : machines) {
            double fullness = 1
                    - cluster.freeCapacity(machine).cpus()
                            / TYPES.get(machine.type()).capacity().cpus();
            MachineGroup group = new MachineGroup(machine.kind(), 1, fullness);
            if (!groups.contains(group)) {
                groups.add(group);
            }
        }
        // The machines have two types, two zones, spot or on-demand pricing, and at most four levels of fullness.
        assertTrue(
                groups.size() <= 2 * 2 * 2 * 4,
                "the machines must form at most 32 groups; machine groups: " + groups.size());
        Plan plan = new Matching(MatchingFixture.SETTINGS, Policy.defaults(), 50).plan(cluster, NOW, WALL_MS);
        assertEquals(groups.size(), plan.machineGroupCount());
    }
}
