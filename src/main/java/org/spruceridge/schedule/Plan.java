package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;

/**
 * The decisions of one scheduling cycle.
 *
 * @param preemptions the running tasks to preempt for waiting tasks of a higher priority
 * @param evictions the replicas to evict from machines that the cloud is about to reclaim; room for each replica is
 *     reserved on another machine
 * @param unplacedTaskCounts the number of tasks of each job that the cycle could not place only because capacity was
 *     lacking; in the cluster's order of jobs
 * @param machineGroupCount the number of machine groups, which are the columns of the matrix; determines the cost of a
 *     cycle
 */
public record Plan(
        ImmutableList<Placement> placements,
        ImmutableList<Binding> preemptions,
        ImmutableList<Binding> evictions,
        ImmutableMap<Job, Integer> unplacedTaskCounts,
        int machineGroupCount) {

    /** A waiting task, identified by its index in the job, and the machine to bind it to. */
    public record Placement(Job job, int taskIndex, Machine machine) {}
}
