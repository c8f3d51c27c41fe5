package org.spruceridge.net;

import java.util.function.BooleanSupplier;

/**
 * Counts the inbound and outbound connections of this process against its socket limit. At the limit every new
 * connection fails, including connections of users and health checks. Idle outbound connections are therefore closed
 * before the limit is reached, and workers' connections may use only a share of the sockets. Used on the event loop
 * only.
 */
public final class ConnectionLimiter {
    /**
     * The share of sockets at which no further outbound connection is opened. The remaining sockets are for the
     * listening socket, the peers, and closed connections whose sockets the operating system has not released yet.
     */
    private static final double USABLE_SHARE = 0.95;
    /** The share of sockets above which idle outbound connections are closed, which keeps sockets free for new ones. */
    private static final double IDLE_ALLOWED_BELOW_SHARE = 0.9;
    /**
     * The maximum share of sockets for inbound connections. The remaining sockets are reserved for outbound
     * connections.
     */
    private static final double INBOUND_SHARE = 0.75;
    /**
     * The maximum share of sockets for workers' connections. The rest of {@link #INBOUND_SHARE} is reserved for users
     * and health checks.
     */
    private static final double WORKER_SHARE = 0.65;

    private final int maxSockets;
    private BooleanSupplier closeIdleConnection = () -> false;
    private int openCount;

    /** {@code maxSockets} is the maximum number of sockets that the operating system allows this process. */
    public ConnectionLimiter(int maxSockets) {
        this.maxSockets = maxSockets;
    }

    int maxInboundConnections() {
        return (int) (maxSockets * INBOUND_SHARE);
    }

    int maxWorkerConnections() {
        return (int) (maxSockets * WORKER_SHARE);
    }

    /** True if no further outbound connection may be opened. */
    boolean isExhausted() {
        return openCount >= maxSockets * USABLE_SHARE;
    }

    /**
     * Sets the function that closes the least recently used idle outbound connection. The function returns false if no
     * outbound connection is idle.
     */
    void setIdleConnectionCloser(BooleanSupplier closer) {
        closeIdleConnection = closer;
    }

    /** The number of open connections. */
    int openCount() {
        return openCount;
    }

    void recordOpened() {
        openCount++;
        closeExcessIdleConnections();
    }

    void recordClosed() {
        openCount--;
    }

    /**
     * Closes idle outbound connections until the total number of connections is within {@link
     * #IDLE_ALLOWED_BELOW_SHARE}, or none is idle.
     */
    void closeExcessIdleConnections() {
        while (openCount > maxSockets * IDLE_ALLOWED_BELOW_SHARE && closeIdleConnection.getAsBoolean()) {
            // each call of the condition closes one connection
        }
    }
}
