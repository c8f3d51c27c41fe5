package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;

/**
 * What a cycle decided.
 *
 * @param columns how many machine groups the matrix had, which is what a cycle costs
 * @param unplaced tasks of each job for which only room was lacking, the most urgent job first
 */
public record Plan(
        ImmutableList<Placement> placements,
        ImmutableList<Binding> stops,
        ImmutableMap<Job, Integer> unplaced,
        int groups) {

    /** A waiting task to be bound to a machine. */
    public record Placement(Job job, int index, Machine machine) {}
}
