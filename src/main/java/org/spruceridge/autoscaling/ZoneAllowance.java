package org.spruceridge.autoscaling;

import java.util.HashMap;
import java.util.Map;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;

/**
 * The number of further tasks of a job that its zone constraints allow in each zone, given the tasks already placed.
 */
final class ZoneAllowance {
    private final int maxTasksPerZone;
    private final boolean requiresOneZone;
    private final Map<String, Integer> tasksPerZone = new HashMap<>();

    private ZoneAllowance(int maxTasksPerZone, boolean oneZone) {
        this.maxTasksPerZone = maxTasksPerZone;
        this.requiresOneZone = oneZone;
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

    /**
     * The allowance for {@code taskCount} tasks with the same needs as the tasks of {@code jobSpec}. None of the tasks
     * is placed yet. If {@code jobSpec} requires spreading over zones, half of the tasks, rounded up, are allowed in
     * each zone.
     */
    static ZoneAllowance of(JobSpec jobSpec, int taskCount) {
        return new ZoneAllowance(jobSpec.spread() ? (taskCount + 1) / 2 : taskCount, false);
    }

    /** The number of further tasks that are allowed in the zone. */
    int remainingTaskCount(String zone) {
        if (requiresOneZone && !tasksPerZone.isEmpty() && !tasksPerZone.containsKey(zone)) {
            return 0;
        }
        return Math.max(0, maxTasksPerZone - tasksPerZone.getOrDefault(zone, 0));
    }

    /** Records that {@code count} more tasks are planned for the zone. */
    void addPlannedTasks(String zone, int count) {
        tasksPerZone.merge(zone, count, Integer::sum);
    }
}
