package org.spruceridge.schedule;

import org.spruceridge.cluster.Cluster;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;

/**
 * The Matching phase of the paper. It processes the matrix in descending order of score and places the tasks that still
 * fit. Among machines with equal scores, the fuller one gets the task. Placements respect machine capacity, team
 * quotas, zone constraints and machine kinds. Existing bindings count towards these limits. Matching reads the cluster
 * but does not change it.
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
