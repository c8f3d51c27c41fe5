package org.spruceridge.term;

import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;

/** The services of a node that its leader uses in every term. */
public record LeaderServices(Loop loop, RateLimitedWarnings warnings, Latencies latencies, LeaderMetrics metrics) {}
