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
 * Capacity kept free for tasks that should start sooner than a machine can boot. For a class of job arrays whose wait
 * objective is shorter than a boot time, it is the recent peak of unfinished tasks. For a class of services, it is the
 * peak of replicas submitted within one boot time; in addition, it covers the replicas that the failure of one machine
 * would stop.
 */
final class WarmCapacity {
    /** How long a peak is retained, in boot times. */
    private static final double PEAK_RETENTION_BOOTS = 15;

    /** How long a new leader waits for jobs of a class without any, in boot times. */
    private static final double LEARNING_BOOTS = 3;

    private final Settings settings;
    private final long startedAt;
    private final Map<String, Peak> peaks = new HashMap<>();

    /** Capacity to keep free for a number of tasks of the same shape as the example job's. */
    record Reserve(JobSpec example, int tasks) {}

    /** The current demand of the jobs of a class. */
    private static final class Demand {
        private JobSpec example;
        private int taskCount;

        void add(JobSpec spec, int count) {
            example = spec;
            taskCount += count;
        }
    }

    WarmCapacity(Settings settings, long now) {
        this.settings = settings;
        this.startedAt = now;
    }

    /**
     * True while a new leader has not yet observed the classes that need warm capacity for long enough to know their
     * peaks. Until then it must not delete the capacity that its predecessor kept for them.
     */
    boolean isLearning(Cluster cluster, long now) {
        double bootS = minBootS(cluster);
        return settings.objectives().stream()
                .filter(objective -> needsWarmCapacity(objective, bootS))
                .anyMatch(objective -> now - startedAt < Durations.nanos(learningBoots(objective.jobClass()) * bootS));
    }

    /** The demand of services is known immediately, because their job records contain the submission time. */
    private double learningBoots(String jobClass) {
        Peak peak = peaks.get(jobClass);
        if (peak == null || peak.example == null) {
            return LEARNING_BOOTS;
        }
        return peak.example.isService() ? 0 : PEAK_RETENTION_BOOTS;
    }

    private static double minBootS(Cluster cluster) {
        return cluster.types().values().stream()
                .mapToDouble(MachineType::bootS)
                .min()
                .orElse(0);
    }

    private static boolean needsWarmCapacity(Settings.Objective objective, double bootS) {
        return objective.kind().equals("wait") && objective.withinS() < bootS;
    }

    /**
     * The capacity to keep free, as counts of tasks of example jobs. {@code now} is in nanoseconds on the loop's clock,
     * {@code wallMs} in milliseconds of wall-clock time.
     */
    List<Reserve> reserves(Cluster cluster, long now, long wallMs) {
        double bootS = minBootS(cluster);
        Map<String, Demand> demands = new HashMap<>();
        for (Settings.Objective objective : settings.objectives()) {
            if (needsWarmCapacity(objective, bootS)) {
                demands.put(objective.jobClass(), new Demand());
            }
        }
        for (Job job : cluster.jobs()) {
            if (!job.isCancelled()) {
                addDemand(job, demands, wallMs - bootS * 1000);
            }
        }
        List<Reserve> reserves = new ArrayList<>();
        demands.forEach((jobClass, demand) -> {
            Peak peak = peaks.computeIfAbsent(jobClass, c -> new Peak());
            peak.record(demand.example, demand.taskCount, now, Durations.nanos(PEAK_RETENTION_BOOTS * bootS));
            if (peak.example != null) {
                reserves.add(new Reserve(peak.example, peak.taskCount));
            }
        });
        addMachineFailureReserve(cluster, reserves);
        return reserves;
    }

    private static void addDemand(Job job, Map<String, Demand> demands, double submittedAfterMs) {
        JobSpec spec = job.spec();
        if (spec.isService()) {
            boolean isRecent = job.submittedMs() > submittedAfterMs;
            demands.computeIfAbsent(spec.jobClass(), c -> new Demand()).add(spec, isRecent ? spec.taskCount() : 0);
        } else if (demands.containsKey(spec.jobClass())) {
            demands.get(spec.jobClass()).add(spec, spec.taskCount() - job.doneCount());
        }
    }

    /** Adds capacity for the replicas of the machine with the most replicas. */
    private static void addMachineFailureReserve(Cluster cluster, List<Reserve> reserves) {
        int maxReplicas = 0;
        JobSpec example = null;
        for (Machine machine : cluster.machines()) {
            if (machine.replicas() > maxReplicas) {
                maxReplicas = machine.replicas();
                example = machine.bindings().stream()
                        .map(binding -> binding.job().spec())
                        .filter(JobSpec::isService)
                        .findFirst()
                        .orElseThrow();
            }
        }
        if (example != null) {
            reserves.add(new Reserve(example, maxReplicas));
        }
    }

    private static final class Peak {
        private JobSpec example;
        private int taskCount;
        private long peakAt;

        void record(JobSpec latestExample, int currentCount, long now, long retentionNanos) {
            example = latestExample == null ? example : latestExample;
            if (currentCount >= taskCount) {
                taskCount = currentCount;
                peakAt = now;
            } else if (now - peakAt > retentionNanos) {
                taskCount = Math.max(1, taskCount - 1);
                peakAt = now;
            }
        }
    }
}
