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
 * What all parts of a leader share for one term.
 *
 * @param scope all that the leader has pending; closed at the end of the term
 * @param cluster the cluster state of this term
 * @param leads whether the lease of the leader key still holds
 */
public record LeaderContext(
        Loop loop,
        CancellationScope scope,
        Settings settings,
        Policy policy,
        Cluster cluster,
        LeaderTerm term,
        BooleanSupplier leads,
        RateLimitedWarnings warnings,
        Latencies latencies,
        LeaderMetrics metrics) {

    /** The context of a term that begins, with an empty cluster state. */
    public static LeaderContext begin(
            Loop loop,
            Settings settings,
            Policy policy,
            LeaderTerm term,
            BooleanSupplier leads,
            RateLimitedWarnings warnings,
            Latencies latencies,
            LeaderMetrics metrics) {
        return new LeaderContext(
                loop,
                new CancellationScope(loop),
                settings,
                policy,
                new Cluster(),
                term,
                leads,
                warnings,
                latencies,
                metrics);
    }

    /** The same with another cluster state. */
    public LeaderContext with(Cluster other) {
        return new LeaderContext(loop, scope, settings, policy, other, term, leads, warnings, latencies, metrics);
    }
}
