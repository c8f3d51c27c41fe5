package org.spruceridge.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The inbound connections of the server. Connections on which workers send heartbeats are limited to a separate share.
 * When the share is used up, the worker connection that has been idle longest is closed, and its worker reconnects if
 * it is still alive. Neither dead connections nor a large fleet can therefore lock out users and health checks. Used on
 * the event loop only.
 */
final class InboundConnections {
    /** The maximum idle time between two requests on a connection that is not a worker's. */
    static final long IDLE_TIMEOUT_NANOS = Durations.nanos(90);
    /** Timeouts are checked by one periodic sweep, because a timer per request costs more than all sweeps together. */
    private static final long TIMEOUT_CHECK_INTERVAL_NANOS = Durations.nanos(1);

    private final Loop loop;
    private final ConnectionLimiter connectionLimiter;
    private final long workerIdleTimeoutNanos;
    /** Connections on which workers send heartbeats, idle longest first. */
    private final Set<ServerConnection> workerConnections = new LinkedHashSet<>();
    /** Connections that wait for their peer and are closed at their deadline. */
    private final Set<ConnectionWatchdog> watched = new LinkedHashSet<>();

    private int connectionCount;

    InboundConnections(Loop loop, ConnectionLimiter connectionLimiter, long workerIdleTimeoutNanos) {
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
        this.workerIdleTimeoutNanos = workerIdleTimeoutNanos;
    }

    /** Counts a new connection. Returns false if the limit is reached; the caller must then close the connection. */
    boolean admit() {
        if (connectionCount >= connectionLimiter.maxInbound() && !closeLongestIdleWorkerConnection()) {
            return false;
        }
        connectionCount++;
        connectionLimiter.opened();
        return true;
    }

    /** Stops counting a connection that was admitted before. */
    void release() {
        connectionCount--;
        connectionLimiter.closed();
    }

    /** Removes a connection from all collections, whether or not it was admitted. */
    void removeConnection(ConnectionWatchdog watchdog, ServerConnection connection) {
        watched.remove(watchdog);
        workerConnections.remove(connection);
    }

    /**
     * Records a heartbeat on this connection, which counts against the share of workers as the most recently used one.
     */
    void recordHeartbeat(ServerConnection connection) {
        workerConnections.remove(connection);
        if (workerConnections.size() >= connectionLimiter.maxWorkers()) {
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

    /** Closes the connection at its deadline, unless it is no longer watched by then. */
    void watch(ConnectionWatchdog watchdog) {
        watched.add(watchdog);
    }

    void unwatch(ConnectionWatchdog watchdog) {
        watched.remove(watchdog);
    }

    void startTimeoutChecks() {
        loop.after(TIMEOUT_CHECK_INTERVAL_NANOS, this::closeTimedOut);
    }

    private void closeTimedOut() {
        long now = loop.nanos();
        watched.stream().filter(watchdog -> watchdog.isTimedOut(now)).toList().forEach(ConnectionWatchdog::close);
        startTimeoutChecks();
    }
}
