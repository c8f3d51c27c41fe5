package org.spruceridge.schedule;

import org.spruceridge.cluster.Cluster;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;

/**
 * The Matching phase of the paper: walks the matrix from the highest score down and binds what still fits, ties going to
 * the fuller machine. Capacity, team limits, zones and machine kinds are counted over bindings. It reads the cluster and
 * changes nothing.
 */
public final class Matching {
    private final Settings settings;
    private final Policy policy;
    private final Estimates estimates;
    private final PriorityMatrix matrix;
    private final int maxBindingsPerMachine;

    /** {@code maxBindingsPerMachine} is what the record of one machine can hold. */
    public Matching(Settings settings, Policy policy, int maxBindingsPerMachine) {
        this.settings = settings;
        this.policy = policy;
        this.maxBindingsPerMachine = maxBindingsPerMachine;
        this.estimates = new Estimates(policy.scheduling().minRemainingTimeS());
        this.matrix = new PriorityMatrix(
                policy.weights(), estimates, policy.scheduling().targetStartDelayS());
    }

    /** Plans one scheduling cycle, {@code now} is on the monotonic clock in nanoseconds, {@code wallMs} the time of day. */
    public Plan plan(Cluster cluster, long now, long wallMs) {
        CycleState state = new CycleState(cluster, settings, maxBindingsPerMachine, now);
        return new SchedulingCycle(state, matrix, estimates, policy, wallMs).run();
    }
}
