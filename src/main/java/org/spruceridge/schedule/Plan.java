package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;

/**
 * The decisions of one scheduling cycle.
 *
 * @param preemptions tasks to preempt for waiting ones of a higher priority
 * @param evictions replicas to evict from machines about to be reclaimed, with room reserved for them elsewhere
 * @param unplaced number of tasks of each job for which only capacity was lacking, the most urgent job first
 * @param machineGroups the number of machine groups, the columns of the matrix, which decides what a cycle costs
 */
public record Plan(
        ImmutableList<Placement> placements,
        ImmutableList<Binding> preemptions,
        ImmutableList<Binding> evictions,
        ImmutableMap<Job, Integer> unplaced,
        int machineGroups) {

    /** A waiting task, by its index in the job, to bind to a machine. */
    public record Placement(Job job, int index, Machine machine) {}
}
