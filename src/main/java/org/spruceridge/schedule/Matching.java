package org.spruceridge.schedule;

import org.spruceridge.cluster.Cluster;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;

/**
 * The Matching phase of the paper: processes the matrix in descending order of score and places the tasks that still
 * fit; equal scores go to the fuller machine. Placements respect machine capacity, team quotas, zone constraints and
 * machine kinds, given the existing bindings. The cluster is only read.
 */
public final class Matching {
    private final Settings settings;
    private final Policy policy;
    private final RemainingTimeEstimator estimator;
    private final PriorityMatrix matrix;
    private final int maxBindingsPerMachine;

    /** {@code maxBindingsPerMachine} is the number of bindings that the record of one machine can hold. */
    public Matching(Settings settings, Policy policy, int maxBindingsPerMachine) {
        this.settings = settings;
        this.policy = policy;
        this.maxBindingsPerMachine = maxBindingsPerMachine;
        this.estimator = new RemainingTimeEstimator(policy.scheduling().minRemainingTimeS());
        this.matrix = new PriorityMatrix(
                policy.weights(), estimator, policy.scheduling().targetStartDelayS());
    }

    /**
     * Plans one scheduling cycle. {@code now} is on the monotonic clock, in nanoseconds; {@code wallMs} is the time of
     * day, in milliseconds.
     */
    public Plan plan(Cluster cluster, long now, long wallMs) {
        CycleState state = new CycleState(cluster, settings, maxBindingsPerMachine, now);
        return new SchedulingCycle(state, matrix, estimator, policy, wallMs).run();
    }
}
