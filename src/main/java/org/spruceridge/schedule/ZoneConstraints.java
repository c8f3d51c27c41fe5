package org.spruceridge.schedule;

import java.util.HashMap;
import java.util.Map;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;

/**
 * The number of tasks in each zone, for jobs with a zone constraint. A zone constraint requires all tasks in one zone,
 * or spreads the tasks over zones. Counts existing bindings and the placements of the current scheduling cycle.
 */
final class ZoneConstraints {
    private final Map<Job, Map<String, Integer>> tasksByZone = new HashMap<>();

    /**
     * Returns whether the job's zone constraint permits one more task in the zone. Returns true if the job has no zone
     * constraint.
     */
    boolean allows(Job job, String zone) {
        JobSpec spec = job.spec();
        if (!isConstrained(spec)) {
            return true;
        }
        Map<String, Integer> used = tasksByZone(job);
        boolean keepsOneZone = !spec.oneZone() || used.isEmpty() || used.containsKey(zone);
        return keepsOneZone && used.getOrDefault(zone, 0) < spec.zoneLimit();
    }

    /** Counts one more task of the job in the zone. */
    void add(Job job, String zone) {
        if (isConstrained(job.spec())) {
            tasksByZone(job).merge(zone, 1, Integer::sum);
        }
    }

    private static boolean isConstrained(JobSpec spec) {
        return spec.oneZone() || spec.spread();
    }

    private Map<String, Integer> tasksByZone(Job job) {
        return tasksByZone.computeIfAbsent(job, ZoneConstraints::countTasksByZone);
    }

    private static Map<String, Integer> countTasksByZone(Job job) {
        Map<String, Integer> used = new HashMap<>();
        job.bindings().forEach(binding -> used.merge(binding.machine().zone(), 1, Integer::sum));
        return used;
    }
}
