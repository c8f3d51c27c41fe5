package org.spruceridge.schedule;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Policy;

/**
 * A direct implementation of the paper's matching (section IV) for comparison. It processes every pair of a job and a
 * machine in descending order of score. Among machines with equal scores, the fuller one gets the task. Only team blue
 * has a quota.
 */
final class ReferenceMatching {
    private static final double BLUE_QUOTA_CPUS = 12;

    private final ImmutableMap<String, MachineType> types;
    private final List<Job> jobs;
    private final List<Machine> machines;
    private final long wallMs;
    private final RemainingTimeEstimator estimator = new RemainingTimeEstimator(10);
    private final Map<Machine, Double> fullness = new HashMap<>();
    private final Map<Machine, Resources> free = new HashMap<>();
    private final Map<Job, Integer> waitingTasks = new HashMap<>();
    private final List<String> placements = new ArrayList<>();
    private double highestPrice;
    private double longestRemainingS;
    private double blueCpus;

    /** A job, a machine, and the score of the job's tasks on that machine. */
    private record Pair(Job job, Machine machine, double score) {}

    ReferenceMatching(
            Cluster cluster,
            ImmutableMap<String, MachineType> types,
            List<Job> jobs,
            List<Machine> machines,
            long wallMs) {
        this.types = types;
        this.jobs = jobs;
        this.machines = machines;
        this.wallMs = wallMs;
        for (Machine machine : machines) {
            MachineType type = types.get(machine.type());
            free.put(machine, cluster.freeCapacity(machine));
            fullness.put(
                    machine,
                    1 - cluster.freeCapacity(machine).cpus() / type.capacity().cpus());
            highestPrice = Math.max(
                    highestPrice, type.price(machine.isSpot()) / type.capacity().cpus());
        }
        for (Job job : jobs) {
            longestRemainingS = job.isCancelled()
                    ? longestRemainingS
                    : Math.max(longestRemainingS, estimator.remainingS(candidate(job)));
            waitingTasks.put(job, job.isCancelled() ? 0 : job.spec().taskCount());
        }
        blueCpus = cluster.usedBy("blue").cpus();
    }

    /** Returns the placements in the order in which they are made, each formatted as {@code job on machine}. */
    List<String> placements() {
        List<Pair> pairs = pairs();
        for (int i = 0; i < pairs.size(); ) {
            Pair first = pairs.get(i);
            List<Machine> tiedMachines = new ArrayList<>();
            for (; i < pairs.size() && pairs.get(i).job == first.job && pairs.get(i).score == first.score; i++) {
                tiedMachines.add(pairs.get(i).machine);
            }
            placeOn(tiedMachines, first.job);
        }
        return placements;
    }

    private List<Pair> pairs() {
        List<Pair> pairs = new ArrayList<>();
        for (Job job : jobs) {
            for (Machine machine : machines) {
                if (!job.isCancelled()
                        && job.spec().allows(machine.type(), machine.zone(), machine.isSpot())
                        && job.spec()
                                .taskResources()
                                .fitsIn(types.get(machine.type()).capacity())) {
                    pairs.add(new Pair(job, machine, Math.rint(score(job, machine) * 1e6) / 1e6));
                }
            }
        }
        pairs.sort(Comparator.comparingDouble((Pair pair) -> -pair.score)
                .thenComparingLong(pair -> pair.job.submittedMs())
                .thenComparing(pair -> pair.job.id()));
        return pairs;
    }

    /** The weighted sum of the terms of equations 4 to 7, 12 and 13, and of the machine price and bin packing terms. */
    private double score(Job job, Machine machine) {
        MachineType type = types.get(machine.type());
        Candidate candidate = candidate(job);
        double remainingS = estimator.remainingS(candidate);
        double urgency = Deadline.urgency(candidate.slackS(), remainingS);
        double price = type.price(machine.isSpot()) / type.capacity().cpus() / highestPrice;
        return 15 * (1 - urgency) * urgency
                + 8 * (1 - remainingS / longestRemainingS)
                + 5 * candidate.ageS() / (candidate.ageS() + remainingS)
                + Policy.defaults().weights().spotPreference() * (1 - price)
                + Policy.defaults().weights().packing() * fullness.get(machine);
    }

    private void placeOn(List<Machine> tiedMachines, Job job) {
        Resources task = job.spec().taskResources();
        boolean isBlue = job.spec().team().equals("blue");
        while (waitingTasks.get(job) > 0) {
            Optional<Machine> fullest = tiedMachines.stream()
                    .filter(machine -> task.fitsIn(free.get(machine)))
                    .filter(machine -> !isBlue || blueCpus + task.cpus() <= BLUE_QUOTA_CPUS)
                    .min(Comparator.comparingDouble(machine -> free.get(machine).cpus()));
            if (fullest.isEmpty()) {
                return;
            }
            free.computeIfPresent(fullest.get(), (machine, freeCapacity) -> freeCapacity.minus(task));
            blueCpus += isBlue ? task.cpus() : 0;
            waitingTasks.merge(job, -1, Integer::sum);
            placements.add(job.id() + " on " + fullest.get().name());
        }
    }

    private Candidate candidate(Job job) {
        return new Candidate(job, 0, (wallMs - job.submittedMs()) / 1000.0, (job.deadlineMs() - wallMs) / 1000.0);
    }
}
