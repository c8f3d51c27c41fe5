package org.spruceridge.autoscaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;

/**
 * Capacity kept free for tasks that should start sooner than a machine boots. For a class of job arrays with such an
 * objective: the peak of its unfinished tasks in recent time. For a class of services: the peak of what was submitted within
 * one boot time, and the replicas that the failure of one machine would stop.
 */
final class WarmCapacity {
    /** How long a peak is remembered, in boot times. */
    private static final double PEAK_MEMORY_BOOTS = 15;

    /** How long a new leader waits for jobs of a class that has none, in boot times. */
    private static final double LEARNING_BOOTS = 3;

    private final Settings settings;
    private final long since;
    private final Map<String, Peak> peaks = new HashMap<>();

    /** Capacity to be kept free for so many tasks like those of a job. */
    record Reserve(JobSpec example, int tasks) {}

    /** What the jobs of a class need now. */
    private static final class Demand {
        private JobSpec example;
        private int tasks;

        void add(JobSpec spec, int count) {
            example = spec;
            tasks += count;
        }
    }

    WarmCapacity(Settings settings, long now) {
        this.settings = settings;
        this.since = now;
    }

    /**
     * True while a new leader has not observed such classes for long enough to know their peaks: it must not delete what
     * its predecessor kept for them.
     */
    boolean isLearning(Cluster cluster, long now) {
        double bootS = bootS(cluster);
        return settings.objectives().stream()
                .filter(objective -> needsWarmCapacity(objective, bootS))
                .anyMatch(objective -> now - since < Durations.nanos(learningBoots(objective.jobClass()) * bootS));
    }

    /** The needs of services are known at once, as the records of their jobs contain the time of submission. */
    private double learningBoots(String jobClass) {
        Peak peak = peaks.get(jobClass);
        if (peak == null || peak.example == null) {
            return LEARNING_BOOTS;
        }
        return peak.example.isService() ? 0 : PEAK_MEMORY_BOOTS;
    }

    private static double bootS(Cluster cluster) {
        return cluster.types().values().stream()
                .mapToDouble(MachineType::bootS)
                .min()
                .orElse(0);
    }

    private static boolean needsWarmCapacity(Settings.Objective objective, double bootS) {
        return objective.kind().equals("wait") && objective.withinS() < bootS;
    }

    /** The capacity to keep free, as numbers of tasks like those of a job. */
    List<Reserve> reserves(Cluster cluster, long now, long wallMs) {
        double bootS = bootS(cluster);
        Map<String, Demand> demands = new HashMap<>();
        for (Settings.Objective objective : settings.objectives()) {
            if (needsWarmCapacity(objective, bootS)) {
                demands.put(objective.jobClass(), new Demand());
            }
        }
        for (Job job : cluster.jobs()) {
            if (!job.isCancelled()) {
                add(job, demands, wallMs - bootS * 1000);
            }
        }
        List<Reserve> reserves = new ArrayList<>();
        demands.forEach((jobClass, demand) -> {
            Peak peak = peaks.computeIfAbsent(jobClass, c -> new Peak());
            peak.record(demand.example, demand.tasks, now, Durations.nanos(PEAK_MEMORY_BOOTS * bootS));
            if (peak.example != null) {
                reserves.add(new Reserve(peak.example, peak.tasks));
            }
        });
        addLossOfOneMachine(cluster, reserves);
        return reserves;
    }

    private static void add(Job job, Map<String, Demand> demands, double recentMs) {
        JobSpec spec = job.spec();
        if (spec.isService()) {
            boolean recent = job.submittedMs() > recentMs;
            demands.computeIfAbsent(spec.jobClass(), c -> new Demand()).add(spec, recent ? spec.tasks() : 0);
        } else if (demands.containsKey(spec.jobClass())) {
            demands.get(spec.jobClass()).add(spec, spec.tasks() - job.doneCount());
        }
    }

    /** Adds capacity for the replicas of the machine that has most of them. */
    private static void addLossOfOneMachine(Cluster cluster, List<Reserve> reserves) {
        int most = 0;
        JobSpec example = null;
        for (Machine machine : cluster.machines()) {
            if (machine.replicas() > most) {
                most = machine.replicas();
                example = machine.bindings().stream()
                        .map(binding -> binding.job().spec())
                        .filter(JobSpec::isService)
                        .findFirst()
                        .orElseThrow();
            }
        }
        if (example != null) {
            reserves.add(new Reserve(example, most));
        }
    }

    private static final class Peak {
        private JobSpec example;
        private int tasks;
        private long peakAt;

        void record(JobSpec latest, int unfinished, long now, long memory) {
            example = latest == null ? example : latest;
            if (unfinished >= tasks) {
                tasks = unfinished;
                peakAt = now;
            } else if (now - peakAt > memory) {
                tasks = Math.max(1, tasks - 1);
                peakAt = now;
            }
        }
    }
}
