package org.spruceridge.autoscaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;

/**
 * Capacity kept free for classes whose tasks should start sooner than a machine boots: as much as the class has lately
 * had unfinished at one time.
 */
final class WarmCapacity {
    /** How long a peak is remembered, in boot times. */
    private static final double MEMORY_OF_BOOT = 15;

    private final Settings settings;
    private final long since;
    private final Map<String, Peak> peaks = new HashMap<>();

    /** Capacity to be kept free for so many tasks like those of a job. */
    record Wanted(JobSpec example, int tasks) {}

    WarmCapacity(Settings settings, long now) {
        this.settings = settings;
        this.since = now;
    }

    /**
     * True while a new leader has not watched for long enough to know how much room such classes need: it must not
     * return what its predecessor kept for them.
     */
    boolean learning(Cluster cluster, long now) {
        double bootS = bootS(cluster);
        return settings.objectives().stream().anyMatch(aim -> needsRoom(aim, bootS))
                && now - since < Durations.nanos(MEMORY_OF_BOOT * bootS);
    }

    private static double bootS(Cluster cluster) {
        return cluster.types().values().stream()
                .mapToDouble(MachineType::bootS)
                .min()
                .orElse(0);
    }

    private static boolean needsRoom(Settings.Objective aim, double bootS) {
        return aim.kind().equals("wait") && aim.withinS() < bootS;
    }

    /** For each such class a job of it, and how many of its tasks should find room. */
    List<Wanted> wanted(Cluster cluster, long now) {
        double bootS = bootS(cluster);
        List<Wanted> wanted = new ArrayList<>();
        for (Settings.Objective aim : settings.objectives()) {
            if (!needsRoom(aim, bootS)) {
                continue;
            }
            int unfinished = 0;
            JobSpec example = null;
            for (Job job : cluster.jobs()) {
                if (job.spec().jobClass().equals(aim.jobClass()) && !job.cancelled()) {
                    unfinished += job.spec().tasks() - job.doneCount();
                    example = job.spec();
                }
            }
            Peak peak = peaks.computeIfAbsent(aim.jobClass(), c -> new Peak());
            peak.see(example, unfinished, now, Durations.nanos(MEMORY_OF_BOOT * bootS));
            if (peak.example != null) {
                wanted.add(new Wanted(peak.example, peak.tasks));
            }
        }
        return wanted;
    }

    private static final class Peak {
        private JobSpec example;
        private int tasks;
        private long at;

        void see(JobSpec seen, int unfinished, long now, long memory) {
            example = seen == null ? example : seen;
            if (unfinished >= tasks) {
                tasks = unfinished;
                at = now;
            } else if (now - at > memory) {
                tasks = Math.max(1, tasks - 1);
                at = now;
            }
        }
    }
}
