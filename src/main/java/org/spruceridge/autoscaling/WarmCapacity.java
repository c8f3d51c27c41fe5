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
 * Computes the capacity to keep free for tasks that should start sooner than a machine can boot. For a class of job
 * arrays whose wait objective is shorter than a boot time, this is the recent peak number of unfinished tasks. For a
 * class of services, this is the recent peak number of replicas submitted within one boot time. One further reserve
 * covers the replicas on the machine with the most replicas, because a failure of that machine would stop them.
 */
final class WarmCapacity {
    /** A peak that is not reached again for this many boot times is lowered by one task. */
    private static final double PEAK_RETENTION_BOOTS = 15;

    /** The time for which a new leader waits for the first job of a class, in boot times. */
    private static final double LEARNING_BOOTS = 3;

    private final Settings settings;
    private final long startedAt;
    private final Map<String, Peak> peaks = new HashMap<>();

    /** Capacity to keep free: room for {@code taskCount} tasks with the same needs as the tasks of {@code jobSpec}. */
    record Reserve(JobSpec jobSpec, int taskCount) {}

    /** The current demand of the jobs of a class. */
    private static final class Demand {
        private JobSpec latestSpec;
        private int taskCount;

        void add(JobSpec spec, int count) {
            latestSpec = spec;
            taskCount += count;
        }
    }

    WarmCapacity(Settings settings, long now) {
        this.settings = settings;
        this.startedAt = now;
    }

    /**
     * True while a new leader does not know the peaks of all classes that need warm capacity, because it has not
     * observed these classes for long enough. While this is true, the leader must not delete the capacity that its
     * predecessor kept for these classes.
     */
    boolean isLearning(Cluster cluster, long now) {
        double bootS = minBootS(cluster);
        return settings.objectives().stream()
                .filter(objective -> needsWarmCapacity(objective, bootS))
                .anyMatch(objective -> now - startedAt < Durations.nanos(learningBoots(objective.jobClass()) * bootS));
    }

    /**
     * The time for which a new leader must observe a class, in boot times. The demand of services is known immediately,
     * because their job records contain the submission time. A class of job arrays is observed for as long as a peak is
     * retained.
     */
    private double learningBoots(String jobClass) {
        Peak peak = peaks.get(jobClass);
        if (peak == null || peak.latestSpec == null) {
            return LEARNING_BOOTS;
        }
        return peak.latestSpec.isService() ? 0 : PEAK_RETENTION_BOOTS;
    }

    private static double minBootS(Cluster cluster) {
        return cluster.machineTypes().values().stream()
                .mapToDouble(MachineType::bootS)
                .min()
                .orElse(0);
    }

    private static boolean needsWarmCapacity(Settings.Objective objective, double bootS) {
        return objective.kind().equals("wait") && objective.withinS() < bootS;
    }

    /**
     * Updates the peaks, and returns the capacity to keep free. {@code now} is in nanoseconds on the loop's clock.
     * {@code wallMs} is the wall-clock time in milliseconds.
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
            peak.record(demand.latestSpec, demand.taskCount, now, Durations.nanos(PEAK_RETENTION_BOOTS * bootS));
            if (peak.latestSpec != null) {
                reserves.add(new Reserve(peak.latestSpec, peak.taskCount));
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

    /** Adds a reserve for the replicas on the machine with the most replicas. */
    private static void addMachineFailureReserve(Cluster cluster, List<Reserve> reserves) {
        int maxReplicas = 0;
        JobSpec serviceSpec = null;
        for (Machine machine : cluster.machines()) {
            if (machine.replicaCount() > maxReplicas) {
                maxReplicas = machine.replicaCount();
                serviceSpec = machine.bindings().stream()
                        .map(binding -> binding.job().spec())
                        .filter(JobSpec::isService)
                        .findFirst()
                        .orElseThrow();
            }
        }
        if (serviceSpec != null) {
            reserves.add(new Reserve(serviceSpec, maxReplicas));
        }
    }

    /** The highest recent number of tasks of a class, and the latest job of the class. */
    private static final class Peak {
        private JobSpec latestSpec;
        private int taskCount;
        private long peakAt;

        void record(JobSpec currentSpec, int currentCount, long now, long retentionNanos) {
            latestSpec = currentSpec == null ? latestSpec : currentSpec;
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
