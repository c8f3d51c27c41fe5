package org.spruceridge.state;

import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.Loop;

/**
 * Tracks the time at which the state service last executed or rejected a request of this node. A response with status
 * 503 does not count, because it indicates an outage.
 */
final class StateServiceAvailability {
    private final Loop loop;
    private long lastServedNanos;
    private boolean everServed;

    StateServiceAvailability(Loop loop) {
        this.loop = loop;
        this.lastServedNanos = loop.nanos();
    }

    void record(HttpAnswer response) {
        if (response.hasResponse() && response.status() != StateResponses.SERVICE_UNAVAILABLE) {
            lastServedNanos = loop.nanos();
            everServed = true;
        }
    }

    /** The time since the last served request; before the first such request, since the start of this node. */
    long nanosSinceLastServed() {
        return loop.nanos() - lastServedNanos;
    }

    boolean hasEverServed() {
        return everServed;
    }
}
