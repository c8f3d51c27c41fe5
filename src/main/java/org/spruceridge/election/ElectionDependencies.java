package org.spruceridge.election;

import java.util.random.RandomGenerator;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.state.StateClient;
import org.spruceridge.upgrade.ClusterFeatureLevel;

/**
 * The services that an election uses.
 *
 * @param state the state service, which holds the leader key and executes the compare-and-swap
 * @param featureLevel read by each campaign, so that a node leads only if it supports the current level
 * @param random generates this process's incarnation and the jitter of retries
 */
public record ElectionDependencies(
        Loop loop,
        StateClient state,
        ClusterFeatureLevel featureLevel,
        RandomGenerator random,
        RateLimitedWarnings warnings) {}
