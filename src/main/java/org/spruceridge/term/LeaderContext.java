package org.spruceridge.term;

import java.util.function.BooleanSupplier;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;

/**
 * The dependencies shared by all components of a leader during one term.
 *
 * @param scope cancels the leader's pending timers and callbacks at the end of the term
 * @param cluster the cluster state of this term
 * @param isLeader returns whether the leader lease is still valid
 */
public record LeaderContext(
        Loop loop,
        CancellationScope scope,
        Settings settings,
        Policy policy,
        Cluster cluster,
        LeaderTerm term,
        BooleanSupplier isLeader,
        RateLimitedWarnings warnings,
        Latencies latencies,
        LeaderMetrics metrics) {

    /** Creates the context of a new term, with an empty cluster state. */
    public static LeaderContext forNewTerm(
            LeaderServices services, Settings settings, Policy policy, LeaderTerm term, BooleanSupplier isLeader) {
        return new LeaderContext(
                services.loop(),
                new CancellationScope(services.loop()),
                settings,
                policy,
                new Cluster(),
                term,
                isLeader,
                services.warnings(),
                services.latencies(),
                services.metrics());
    }

    /** Returns a copy of this context that has {@code other} as its cluster state. */
    public LeaderContext withCluster(Cluster other) {
        return new LeaderContext(loop, scope, settings, policy, other, term, isLeader, warnings, latencies, metrics);
    }
}
