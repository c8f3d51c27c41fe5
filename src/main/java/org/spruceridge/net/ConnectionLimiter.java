package org.spruceridge.net;

import java.util.function.BooleanSupplier;

/**
 * Counts the inbound and outbound connections of this process against its limit of sockets. Over the limit new connections
 * fail, also those of users and health checks; so idle outbound connections are closed before it is reached, and workers
 * leave a share to all others. Used on the event loop only.
 */
public final class ConnectionLimiter {
    /** The rest is for the listening socket, the peers, and closed connections whose sockets are still held. */
    private static final double USABLE_SHARE = 0.95;
    /** Idle outbound connections are kept only below this share, so that new connections find room. */
    private static final double IDLE_ALLOWED_BELOW_SHARE = 0.9;
    /** The limit of inbound connections; outbound calls always have the rest. */
    private static final double INBOUND_SHARE = 0.75;
    /** The limit of workers' connections; users and health checks always have the rest of the inbound ones. */
    private static final double WORKER_SHARE = 0.65;

    private final int max;
    private BooleanSupplier closeIdle = () -> false;
    private int open;

    /** {@code max} is the most sockets that the operating system allows this process. */
    public ConnectionLimiter(int max) {
        this.max = max;
    }

    int maxInbound() {
        return (int) (max * INBOUND_SHARE);
    }

    int maxWorkers() {
        return (int) (max * WORKER_SHARE);
    }

    /** True if there is none left to open. */
    boolean isExhausted() {
        return open >= max * USABLE_SHARE;
    }

    /** Sets how room is made: by closing the least recently used idle outbound connection, if there is one. */
    void makeRoomBy(BooleanSupplier closing) {
        closeIdle = closing;
    }

    /** Connections that are open now. */
    int open() {
        return open;
    }

    void opened() {
        open++;
        trim();
    }

    void closed() {
        open--;
    }

    /** Closes idle outbound connections while there are too many in all. */
    void trim() {
        while (open > max * IDLE_ALLOWED_BELOW_SHARE && closeIdle.getAsBoolean()) {
            // closes one at a time
        }
    }
}
