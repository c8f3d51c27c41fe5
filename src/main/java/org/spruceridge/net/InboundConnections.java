package org.spruceridge.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The inbound connections of the server. Connections on which workers send heartbeats have a share of their own; when it
 * is used up, the worker connection that has been idle longest is closed, and its worker opens another if it is still
 * alive. So neither dead connections nor a whole fleet keep users and health checks out. Used on the event loop only.
 */
final class InboundConnections {
    /** How long a connection that is no worker's may be idle between two requests. */
    static final long IDLE_TIMEOUT_NANOS = Durations.nanos(90);
    /** Timeouts are checked by one periodic sweep: a timer for each request costs more than all the sweeps. */
    private static final long TIMEOUT_CHECK_INTERVAL_NANOS = Durations.nanos(1);

    private final Loop loop;
    private final ConnectionLimiter connectionLimiter;
    private final long workerIdleTimeoutNanos;
    /** Connections on which workers send heartbeats, the one idle longest first. */
    private final Set<ServerConnection> workerConnections = new LinkedHashSet<>();
    /** Connections that wait for their peer and are closed at a deadline. */
    private final Set<ConnectionWatchdog> watched = new LinkedHashSet<>();

    private int count;

    InboundConnections(Loop loop, ConnectionLimiter connectionLimiter, long workerIdleTimeoutNanos) {
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
        this.workerIdleTimeoutNanos = workerIdleTimeoutNanos;
    }

    /** Counts a new connection in; false if there is no room for it, and then it is to be closed. */
    boolean admit() {
        if (count >= connectionLimiter.maxInbound() && !closeLongestIdleWorker()) {
            return false;
        }
        count++;
        connectionLimiter.opened();
        return true;
    }

    /** Counts a connection out that was admitted before. */
    void release() {
        count--;
        connectionLimiter.closed();
    }

    /** Forgets a connection, whether or not it was admitted. */
    void forget(ConnectionWatchdog watchdog, ServerConnection connection) {
        watched.remove(watchdog);
        workerConnections.remove(connection);
    }

    /** A heartbeat has come on this connection: it counts against the share of workers and is the most recently used. */
    void recordHeartbeat(ServerConnection connection) {
        workerConnections.remove(connection);
        if (workerConnections.size() >= connectionLimiter.maxWorkers()) {
            closeLongestIdleWorker();
        }
        workerConnections.add(connection);
    }

    private boolean closeLongestIdleWorker() {
        if (workerConnections.isEmpty()) {
            return false;
        }
        workerConnections.iterator().next().close();
        return true;
    }

    /** How long the connection may be idle between two requests, in nanoseconds. */
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
