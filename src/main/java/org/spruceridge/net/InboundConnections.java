package org.spruceridge.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The inbound connections of the server. Connections on which workers send heartbeats have a separate, lower limit.
 * When that limit is reached, the worker connection that has been idle longest is closed. Its worker reconnects if the
 * worker is still alive. Neither dead connections nor a large fleet can therefore lock out users and health checks.
 * Used on the event loop only.
 */
final class InboundConnections {
    /** The maximum idle time between two requests on a connection that is not a worker's. */
    static final long IDLE_TIMEOUT_NANOS = Durations.nanos(90);
    /**
     * The interval between two checks of all deadlines. One periodic check is used because a timer per request costs
     * more CPU time than all checks together.
     */
    private static final long TIMEOUT_CHECK_INTERVAL_NANOS = Durations.nanos(1);

    private final Loop loop;
    private final ConnectionLimiter connectionLimiter;
    private final long workerIdleTimeoutNanos;
    /** Connections on which workers send heartbeats, the longest idle first. */
    private final Set<ServerConnection> workerConnections = new LinkedHashSet<>();
    /** The watchdogs of connections that wait for their peer; each connection is closed at its deadline. */
    private final Set<ConnectionWatchdog> activeWatchdogs = new LinkedHashSet<>();

    private int connectionCount;

    InboundConnections(Loop loop, ConnectionLimiter connectionLimiter, long workerIdleTimeoutNanos) {
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
        this.workerIdleTimeoutNanos = workerIdleTimeoutNanos;
    }

    /**
     * Counts a new connection. If the limit is reached, the worker connection that has been idle longest is closed to
     * make room. Returns false if there is no such connection; the caller must then close the new connection.
     */
    boolean admit() {
        if (connectionCount >= connectionLimiter.maxInboundConnections() && !closeLongestIdleWorkerConnection()) {
            return false;
        }
        connectionCount++;
        connectionLimiter.recordOpened();
        return true;
    }

    /** Stops counting a connection that was admitted before. */
    void release() {
        connectionCount--;
        connectionLimiter.recordClosed();
    }

    /** Removes a connection and its watchdog from all collections. The connection need not have been admitted. */
    void removeConnection(ConnectionWatchdog watchdog, ServerConnection connection) {
        activeWatchdogs.remove(watchdog);
        workerConnections.remove(connection);
    }

    /**
     * Records a heartbeat on this connection, which becomes the most recently used worker connection. If the connection
     * was not a worker connection before and their limit is reached, the worker connection that has been idle longest
     * is closed.
     */
    void recordHeartbeat(ServerConnection connection) {
        workerConnections.remove(connection);
        if (workerConnections.size() >= connectionLimiter.maxWorkerConnections()) {
            closeLongestIdleWorkerConnection();
        }
        workerConnections.add(connection);
    }

    private boolean closeLongestIdleWorkerConnection() {
        if (workerConnections.isEmpty()) {
            return false;
        }
        workerConnections.iterator().next().close();
        return true;
    }

    /** The maximum idle time of the connection between two requests, in nanoseconds. */
    long idleTimeoutNanos(ServerConnection connection) {
        return workerConnections.contains(connection) ? workerIdleTimeoutNanos : IDLE_TIMEOUT_NANOS;
    }

    /** Watches the connection, which is closed at its deadline unless the watch ends earlier. */
    void watch(ConnectionWatchdog watchdog) {
        activeWatchdogs.add(watchdog);
    }

    void unwatch(ConnectionWatchdog watchdog) {
        activeWatchdogs.remove(watchdog);
    }

    void startTimeoutChecks() {
        loop.after(TIMEOUT_CHECK_INTERVAL_NANOS, this::closeTimedOut);
    }

    private void closeTimedOut() {
        long now = loop.nanos();
        activeWatchdogs.stream()
                .filter(watchdog -> watchdog.isTimedOut(now))
                .toList()
                .forEach(ConnectionWatchdog::close);
        startTimeoutChecks();
    }
}
