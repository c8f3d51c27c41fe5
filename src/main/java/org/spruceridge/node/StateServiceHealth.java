package org.spruceridge.node;

import org.spruceridge.net.Durations;
import org.spruceridge.state.StateClient;

/**
 * Whether this node can reach the state service. {@link Node} probes the service about once a second, so that the
 * result stays recent.
 */
final class StateServiceHealth {
    /** The time without a processed request after which the service counts as unreachable. */
    private static final long MAX_SILENCE_NANOS = Durations.nanos(3);

    private final StateClient state;

    StateServiceHealth(StateClient state) {
        this.state = state;
    }

    boolean isReachable() {
        return state.nanosSinceLastServed() < MAX_SILENCE_NANOS;
    }

    /** True if the service is reachable and has executed or rejected at least one request of this process. */
    boolean hasServedAndIsReachable() {
        return state.hasEverBeenServed() && isReachable();
    }
}
