package org.spruceridge.state;

import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.Loop;

/**
 * Tracks when the state service last processed a request of this node, whether it executed or rejected it. A response
 * with status 503 does not count, because it indicates an outage.
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

    /** Measured from the start of this node until a request has been served. */
    long nanosSinceLastServed() {
        return loop.nanos() - lastServedNanos;
    }

    boolean hasEverServed() {
        return everServed;
    }
}
