package org.spruceridge.autoscaling;

import java.util.HashMap;
import java.util.Map;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;

/** How many more tasks of a job may be placed in each zone, given those that are bound. */
final class ZoneAllowance {
    private final int limit;
    private final boolean oneZone;
    private final Map<String, Integer> used = new HashMap<>();

    private ZoneAllowance(int limit, boolean oneZone) {
        this.limit = limit;
        this.oneZone = oneZone;
    }

    /** For the waiting tasks of a job. */
    static ZoneAllowance of(Job job) {
        ZoneAllowance allowance =
                new ZoneAllowance(job.spec().zoneLimit(), job.spec().oneZone());
        for (Binding binding : job.bindings()) {
            allowance.used.merge(binding.machine().zone(), 1, Integer::sum);
        }
        return allowance;
    }

    /** For so many tasks like those of a job, none of which is bound. */
    static ZoneAllowance of(JobSpec example, int tasks) {
        return new ZoneAllowance(example.spread() ? (tasks + 1) / 2 : tasks, false);
    }

    /** How many more may be placed in the zone. */
    int left(String zone) {
        if (oneZone && !used.isEmpty() && !used.containsKey(zone)) {
            return 0;
        }
        return Math.max(0, limit - used.getOrDefault(zone, 0));
    }

    /** Counts tasks that are planned for the zone. */
    void take(String zone, int count) {
        used.merge(zone, count, Integer::sum);
    }
}
