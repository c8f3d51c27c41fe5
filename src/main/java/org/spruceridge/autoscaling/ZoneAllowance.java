package org.spruceridge.autoscaling;

import java.util.HashMap;
import java.util.Map;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;

/** The number of additional tasks of a job that may be placed in each zone, given those already bound. */
final class ZoneAllowance {
    private final int maxTasksPerZone;
    private final boolean oneZone;
    private final Map<String, Integer> tasksPerZone = new HashMap<>();

    private ZoneAllowance(int maxTasksPerZone, boolean oneZone) {
        this.maxTasksPerZone = maxTasksPerZone;
        this.oneZone = oneZone;
    }

    /** The allowance for the waiting tasks of a job. */
    static ZoneAllowance of(Job job) {
        ZoneAllowance allowance =
                new ZoneAllowance(job.spec().zoneLimit(), job.spec().oneZone());
        for (Binding binding : job.bindings()) {
            allowance.tasksPerZone.merge(binding.machine().zone(), 1, Integer::sum);
        }
        return allowance;
    }

    /** The allowance for {@code tasks} unbound tasks of the same shape as those of the example job. */
    static ZoneAllowance of(JobSpec example, int tasks) {
        return new ZoneAllowance(example.spread() ? (tasks + 1) / 2 : tasks, false);
    }

    /** The number of tasks that may still be placed in the zone. */
    int remaining(String zone) {
        if (oneZone && !tasksPerZone.isEmpty() && !tasksPerZone.containsKey(zone)) {
            return 0;
        }
        return Math.max(0, maxTasksPerZone - tasksPerZone.getOrDefault(zone, 0));
    }

    /** Counts {@code count} more tasks as planned for the zone. */
    void add(String zone, int count) {
        tasksPerZone.merge(zone, count, Integer::sum);
    }
}
