package org.spruceridge.state;

import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.Loop;

/** When the state service last executed or judged a request of this node. An answer 503 tells of an outage instead. */
final class StateServiceAvailability {
    private final Loop loop;
    private long lastServedNanos;
    private boolean everServed;

    StateServiceAvailability(Loop loop) {
        this.loop = loop;
        this.lastServedNanos = loop.nanos();
    }

    void record(HttpAnswer answer) {
        if (answer.hasResponse() && answer.status() != StateResponses.SERVICE_UNAVAILABLE) {
            lastServedNanos = loop.nanos();
            everServed = true;
        }
    }

    /** Counted from the start of this node while no request has been served. */
    long nanosSinceLastServed() {
        return loop.nanos() - lastServedNanos;
    }

    boolean hasEverServed() {
        return everServed;
    }
}
