package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;

/**
 * What a cycle decided.
 *
 * @param preemptions tasks to be stopped for waiting ones
 * @param evictions replicas to be stopped where they are, for which there is room elsewhere
 * @param unplaced tasks of each job for which only room was lacking, the most urgent job first
 * @param machineGroups how many machine groups the matrix had, which is what a cycle costs
 */
public record Plan(
        ImmutableList<Placement> placements,
        ImmutableList<Binding> preemptions,
        ImmutableList<Binding> evictions,
        ImmutableMap<Job, Integer> unplaced,
        int machineGroups) {

    /** A waiting task to be bound to a machine. */
    public record Placement(Job job, int index, Machine machine) {}
}
