package org.spruceridge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * The matching by columns of equal machines against the document's walk over every pair of a task and a machine, on
 * random small cluster states without room to hold.
 */
final class PlainWalkTest {
    private static final long NOW = 1_000_000_000_000L;
    private static final long WALL = 1_000_000;
    private static final ImmutableMap<String, MachineType> TYPES = ImmutableMap.of(
            "t4", new MachineType("t4", new Resources(4, 0, 16), 1, 0.2, 0.06, 20, ImmutableList.of("a", "b")),
            "t8", new MachineType("t8", new Resources(8, 0, 32), 1, 0.5, 0.11, 20, ImmutableList.of("a", "b")));
    private static final Policy NO_HOLDING = new Policy(
            Policy.defaults().weights(),
            new Policy.Scheduling(0.1, 10, 0, 240),
            Policy.defaults().preemption(),
            Policy.defaults().leadership(),
            Policy.defaults().fleet());

    private final Cluster cluster = new Cluster();
    private final List<Job> jobs = new ArrayList<>();
    private final List<Machine> machines = new ArrayList<>();

    private Job job(SplittableRandom random, int tasks, long submittedMs) {
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

    private void picture(SplittableRandom random, int machineCount, int jobCount) {
        cluster.updateTypes(TYPES);
        Job running = job(random, 10_000, WALL - 5000);
        for (int i = 0; i < machineCount; i++) {
            String type = random.nextBoolean() ? "t4" : "t8";
            String zone = random.nextBoolean() ? "a" : "b";
            Machine m = new Machine("m" + i, "", new MachineKind(type, zone, random.nextBoolean()), NOW, NOW);
            m.recordHeartbeat(1, 1, "", NOW);
            m.lease().fence();
            cluster.add(m);
            machines.add(m);
            int there = random.nextInt(4);
            for (int k = 0; k < there && running.spec().task().fitsIn(cluster.freeCapacity(m)); k++) {
                int index = running.nextWaiting(0);
                cluster.bind(new Binding(running, index, 1, m, Binding.Stage.COMMITTED, NOW));
            }
        }
        running.cancel(NOW, NOW); // what it has bound stays, and nothing more of it is placed
        for (int i = 0; i < jobCount; i++) {
            job(random, 1 + random.nextInt(8), WALL - random.nextInt(100_000));
        }
    }

    /** One pair of a task's job and a machine. */
    private record Pair(Job job, Machine machine, double score) {}

    /** The document's walk: every pair, from the highest score down; equal scores to the fuller machine. */
    private List<String> plainWalk() {
        Estimates estimates = new Estimates(10);
        Map<Machine, Double> fullness = new HashMap<>();
        Map<Machine, Resources> free = new HashMap<>();
        double dearest = 0;
        for (Machine m : machines) {
            MachineType t = TYPES.get(m.type());
            free.put(m, cluster.freeCapacity(m));
            fullness.put(m, 1 - cluster.freeCapacity(m).cpus() / t.capacity().cpus());
            dearest = Math.max(dearest, t.price(m.isSpot()) / t.capacity().cpus());
        }
        double longestS = 0;
        for (Job job : jobs) {
            longestS = job.isCancelled() ? longestS : Math.max(longestS, estimates.remainingS(candidate(job)));
        }
        List<Pair> pairs = new ArrayList<>();
        for (Job job : jobs) {
            for (Machine m : machines) {
                MachineType t = TYPES.get(m.type());
                if (job.isCancelled()
                        || !job.spec().allows(m.type(), m.zone(), m.isSpot())
                        || !job.spec().task().fitsIn(t.capacity())) {
                    continue;
                }
                Candidate c = candidate(job);
                double remainingS = estimates.remainingS(c);
                double urgency = Deadline.urgency(c.slackS(), remainingS);
                double price = t.price(m.isSpot()) / t.capacity().cpus() / dearest;
                double score = 15 * (1 - urgency) * urgency
                        + 8 * (1 - remainingS / longestS)
                        + 5 * c.ageS() / (c.ageS() + remainingS)
                        + Policy.defaults().weights().spotPreference() * (1 - price)
                        + Policy.defaults().weights().packing() * fullness.get(m);
                pairs.add(new Pair(job, m, Math.rint(score * 1e6) / 1e6));
            }
        }
        pairs.sort(Comparator.comparingDouble((Pair p) -> -p.score)
                .thenComparingLong(p -> p.job.submittedMs())
                .thenComparing(p -> p.job.id()));
        Map<Job, Integer> left = new HashMap<>();
        jobs.forEach(j -> left.put(j, j.isCancelled() ? 0 : j.spec().tasks()));
        double[] blue = {cluster.usedBy("blue").cpus()};
        List<String> bound = new ArrayList<>();
        for (int i = 0; i < pairs.size(); ) {
            Pair first = pairs.get(i);
            List<Machine> tied = new ArrayList<>();
            for (; i < pairs.size() && pairs.get(i).job == first.job && pairs.get(i).score == first.score; i++) {
                tied.add(pairs.get(i).machine);
            }
            Resources task = first.job.spec().task();
            while (left.get(first.job) > 0) {
                Optional<Machine> best = tied.stream()
                        .filter(m -> task.fitsIn(free.get(m)))
                        .filter(m -> !first.job.spec().team().equals("blue") || blue[0] + task.cpus() <= 12)
                        .min(Comparator.comparingDouble(m -> free.get(m).cpus()));
                if (best.isEmpty()) {
                    break;
                }
                free.computeIfPresent(best.get(), (m, room) -> room.minus(task));
                blue[0] += first.job.spec().team().equals("blue") ? task.cpus() : 0;
                left.merge(first.job, -1, Integer::sum);
                bound.add(first.job.id() + " on " + best.get().name());
            }
        }
        return bound;
    }

    private static Candidate candidate(Job job) {
        return new Candidate(job, 0, (WALL - job.submittedMs()) / 1000.0, (job.deadlineMs() - WALL) / 1000.0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void groupsBindWhatThePlainWalkBinds(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        picture(random, 3 + random.nextInt(10), 2 + random.nextInt(8));
        List<String> plan = new Matching(MatchingTest.SETTINGS, NO_HOLDING, 50)
                .plan(cluster, NOW, WALL).placements().stream()
                        .map(p -> p.job().id() + " on " + p.machine().name())
                        .toList();
        assertEquals(plainWalk(), plan);
    }

    @Test
    void theMatrixGrowsWithWhatDiffersAndNotWithTheMachines() {
        picture(new SplittableRandom(1), 1500, 60);
        List<MachineGroup> seen = new ArrayList<>();
        for (Machine m : machines) {
            double full = 1
                    - cluster.freeCapacity(m).cpus()
                            / TYPES.get(m.type()).capacity().cpus();
            MachineGroup column = new MachineGroup(m.kind(), 1, full);
            if (!seen.contains(column)) {
                seen.add(column);
            }
        }
        // Two types, two zones, spot or not, and four tasks' worth of fullness at most.
        assertTrue(seen.size() <= 2 * 2 * 2 * 4, "columns: " + seen.size());
        Plan plan = new Matching(MatchingTest.SETTINGS, Policy.defaults(), 50).plan(cluster, NOW, WALL);
        assertEquals(seen.size(), plan.machineGroups());
    }
}
