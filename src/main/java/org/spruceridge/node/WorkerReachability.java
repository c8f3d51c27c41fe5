package org.spruceridge.node;

import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/** Whether workers reach this node: true until it received no heartbeat of any worker for some heartbeat intervals. */
final class WorkerReachability {
    /** After this many heartbeat intervals without a heartbeat, a node counts as unreachable for workers. */
    private static final double MAX_SILENCE_HEARTBEATS = 2.5;

    private final Loop loop;
    private final long maxSilenceNanos;
    private long lastHeartbeatAt;

    WorkerReachability(Loop loop, Settings settings) {
        this.loop = loop;
        this.maxSilenceNanos =
                Durations.nanos(MAX_SILENCE_HEARTBEATS * settings.workers().heartbeatIntervalS());
        this.lastHeartbeatAt = loop.nanos();
    }

    void heartbeatReceived() {
        lastHeartbeatAt = loop.nanos();
    }

    boolean isReachable() {
        return loop.nanos() - lastHeartbeatAt < maxSilenceNanos;
    }

    /** How long the silence may last, in nanoseconds. */
    long maxSilenceNanos() {
        return maxSilenceNanos;
    }
}
