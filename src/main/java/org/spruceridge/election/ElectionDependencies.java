package org.spruceridge.election;

import java.util.random.RandomGenerator;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.state.StateClient;
import org.spruceridge.upgrade.ClusterFeatureLevel;

/**
 * The services that an election uses.
 *
 * @param state the state service, which holds the leader key and executes the compare-and-swap of a campaign
 * @param featureLevel the cluster feature level; each campaign reads it, because only a node that supports it can lead
 * @param random generates the incarnation of this process and the jitter of retry delays
 */
public record ElectionDependencies(
        Loop loop,
        StateClient state,
        ClusterFeatureLevel featureLevel,
        RandomGenerator random,
        RateLimitedWarnings warnings) {}
