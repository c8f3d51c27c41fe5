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
 * Capacity kept free for work that should start sooner than a machine boots. For a class of arrays with such an aim: as
 * much as the class has lately had unfinished at one time. For a class of services, each second without which counts: as
 * much as was lately submitted within one boot, and what the failure of one machine takes.
 */
final class WarmCapacity {
    /** How long a peak is remembered, in boot times. */
    private static final double MEMORY_OF_BOOT = 15;

    /** How long a new leader waits to see a class of which there is no job, in boot times. */
    private static final double UNSEEN_OF_BOOT = 3;

    private final Settings settings;
    private final long since;
    private final Map<String, Peak> peaks = new HashMap<>();

    /** Capacity to be kept free for so many tasks like those of a job. */
    record Wanted(JobSpec example, int tasks) {}

    /** What the jobs of a class ask for now. */
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
     * True while a new leader has not watched for long enough to know how much room such classes need: it must not
     * return what its predecessor kept for them.
     */
    boolean learning(Cluster cluster, long now) {
        double bootS = bootS(cluster);
        return settings.objectives().stream()
                .filter(aim -> needsRoom(aim, bootS))
                .anyMatch(aim -> now - since < Durations.nanos(learningOfBoot(aim.jobClass()) * bootS));
    }

    /** What services need is known from their jobs, which are on record with the time of their submission. */
    private double learningOfBoot(String jobClass) {
        Peak peak = peaks.get(jobClass);
        if (peak == null || peak.example == null) {
            return UNSEEN_OF_BOOT;
        }
        return peak.example.isService() ? 0 : MEMORY_OF_BOOT;
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

    /** Jobs of which capacity is kept free, and for how many of their tasks. */
    List<Wanted> wanted(Cluster cluster, long now, long wallMs) {
        double bootS = bootS(cluster);
        Map<String, Demand> demands = new HashMap<>();
        for (Settings.Objective aim : settings.objectives()) {
            if (needsRoom(aim, bootS)) {
                demands.put(aim.jobClass(), new Demand());
            }
        }
        for (Job job : cluster.jobs()) {
            if (!job.isCancelled()) {
                add(job, demands, wallMs - bootS * 1000);
            }
        }
        List<Wanted> wanted = new ArrayList<>();
        demands.forEach((jobClass, demand) -> {
            Peak peak = peaks.computeIfAbsent(jobClass, c -> new Peak());
            peak.see(demand.example, demand.tasks, now, Durations.nanos(MEMORY_OF_BOOT * bootS));
            if (peak.example != null) {
                wanted.add(new Wanted(peak.example, peak.tasks));
            }
        });
        addLossOfOneMachine(cluster, wanted);
        return wanted;
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

    /** Room for the replicas on that machine which carries most of them. */
    private static void addLossOfOneMachine(Cluster cluster, List<Wanted> wanted) {
        int most = 0;
        JobSpec example = null;
        for (Machine machine : cluster.machines()) {
            if (machine.replicas() > most) {
                most = machine.replicas();
                example = machine.bindings().stream()
                        .map(b -> b.job().spec())
                        .filter(JobSpec::isService)
                        .findFirst()
                        .orElseThrow();
            }
        }
        if (example != null) {
            wanted.add(new Wanted(example, most));
        }
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
