package org.spruceridge.net;

import java.util.function.BooleanSupplier;

/**
 * Counts the inbound and outbound connections of this process against its socket limit. Above the limit new connections
 * fail, including those of users and health checks. Idle outbound connections are therefore closed before the limit is
 * reached, and connections of workers are limited to a share of it. Used on the event loop only.
 */
public final class ConnectionLimiter {
    /** The rest is for the listening socket, the peers, and closed connections whose sockets are not released yet. */
    private static final double USABLE_SHARE = 0.95;
    /** Idle outbound connections are kept only below this share, so that new connections can be opened. */
    private static final double IDLE_ALLOWED_BELOW_SHARE = 0.9;
    /** The limit of inbound connections; the rest is reserved for outbound calls. */
    private static final double INBOUND_SHARE = 0.75;
    /** The limit of workers' connections; the rest of the inbound share is reserved for users and health checks. */
    private static final double WORKER_SHARE = 0.65;

    private final int maxSockets;
    private BooleanSupplier closeIdleConnection = () -> false;
    private int openCount;

    /** {@code maxSockets} is the maximum number of sockets that the operating system allows this process. */
    public ConnectionLimiter(int maxSockets) {
        this.maxSockets = maxSockets;
    }

    int maxInbound() {
        return (int) (maxSockets * INBOUND_SHARE);
    }

    int maxWorkers() {
        return (int) (maxSockets * WORKER_SHARE);
    }

    /** True if no further outbound connection may be opened. */
    boolean isExhausted() {
        return openCount >= maxSockets * USABLE_SHARE;
    }

    /**
     * Sets the function that closes the least recently used idle outbound connection; it returns false if none is idle.
     */
    void setIdleConnectionCloser(BooleanSupplier closer) {
        closeIdleConnection = closer;
    }

    /** The number of open connections. */
    int openCount() {
        return openCount;
    }

    void opened() {
        openCount++;
        closeExcessIdleConnections();
    }

    void closed() {
        openCount--;
    }

    /** Closes idle outbound connections while the total number of connections is above their allowed share. */
    void closeExcessIdleConnections() {
        while (openCount > maxSockets * IDLE_ALLOWED_BELOW_SHARE && closeIdleConnection.getAsBoolean()) {
            // each call closes one connection
        }
    }
}
