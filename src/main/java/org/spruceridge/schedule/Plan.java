package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;

/**
 * The decisions of one scheduling cycle.
 *
 * @param preemptions tasks to preempt for waiting tasks of a higher priority
 * @param evictions replicas to evict from machines about to be reclaimed; room for them is reserved on other machines
 * @param unplaced the number of tasks per job that could not be placed only for lack of capacity, in the cluster's
 *     order
 * @param machineGroups the number of machine groups, the columns of the matrix, which determines the cost of a cycle
 */
public record Plan(
        ImmutableList<Placement> placements,
        ImmutableList<Binding> preemptions,
        ImmutableList<Binding> evictions,
        ImmutableMap<Job, Integer> unplaced,
        int machineGroups) {

    /** A waiting task, identified by its index in the job, and the machine to bind it to. */
    public record Placement(Job job, int taskIndex, Machine machine) {}
}
