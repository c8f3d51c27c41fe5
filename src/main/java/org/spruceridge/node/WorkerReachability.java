package org.spruceridge.node;

import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/** Whether workers can reach this node, judged by the time since the last worker heartbeat arrived. */
final class WorkerReachability {
    /** The number of heartbeat intervals without any heartbeat after which workers cannot reach this node. */
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

    void recordHeartbeat() {
        lastHeartbeatAt = loop.nanos();
    }

    boolean isReachable() {
        return loop.nanos() - lastHeartbeatAt < maxSilenceNanos;
    }

    /** The time without any heartbeat after which workers are assumed unable to reach this node, in nanoseconds. */
    long maxSilenceNanos() {
        return maxSilenceNanos;
    }
}
