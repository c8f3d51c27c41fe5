package org.spruceridge.net;

import java.util.function.BooleanSupplier;

/**
 * The connections of this process, those that come in and those of our own calls together, against what the machine
 * allows. Over the limit new connections fail, users' and health checks' too; so idle connections of our own are closed
 * before it is reached, and workers leave a share to all others.
 */
public final class ConnectionLimiter {
    /** The rest is for listening, for the other nodes, and for connections that are closed and not gone yet. */
    private static final double USABLE_SHARE = 0.95;
    /** Idle connections of our own are kept only below this share, so that whoever comes finds room. */
    private static final double IDLE_ALLOWED_BELOW_SHARE = 0.9;
    /** What may come in; our own calls always have the rest. */
    private static final double INBOUND_SHARE = 0.75;
    /** What workers may hold of it; users and health checks always have the rest. */
    private static final double WORKER_SHARE = 0.65;

    private final int max;
    private BooleanSupplier closeIdle = () -> false;
    private int open;

    /** {@code max} is the most sockets that the machine allows this process. */
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

    /** Says how room is made: by closing the idle connection of our own that was used least lately, if there is one. */
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

    /** Closes idle connections of our own while there are too many in all. */
    void trim() {
        while (open > max * IDLE_ALLOWED_BELOW_SHARE && closeIdle.getAsBoolean()) {
            // one less
        }
    }
}
