package org.spruceridge.node;

import org.spruceridge.net.Durations;
import org.spruceridge.state.StateClient;

/** Whether the state service serves this node. {@link Node} sends a probe each second, so that the answer is recent. */
final class StateServiceHealth {
    /** After this time without a successful request, the service counts as unreachable. */
    private static final long MAX_SILENCE_NANOS = Durations.nanos(3);

    private final StateClient state;

    StateServiceHealth(StateClient state) {
        this.state = state;
    }

    boolean isReachable() {
        return state.nanosSinceLastServed() < MAX_SILENCE_NANOS;
    }

    /** True if the service also answered this process at least once. */
    boolean hasServedAndIsReachable() {
        return state.hasEverBeenServed() && isReachable();
    }
}
