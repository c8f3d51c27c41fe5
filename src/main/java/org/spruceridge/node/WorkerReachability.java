package org.spruceridge.node;

import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/** Whether workers can reach this node: false once no worker heartbeat has arrived for some heartbeat intervals. */
final class WorkerReachability {
    /** A node counts as unreachable for workers after this many heartbeat intervals without a heartbeat. */
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

    /** The time without a heartbeat after which workers cannot reach this node, in nanoseconds. */
    long maxSilenceNanos() {
        return maxSilenceNanos;
    }
}
