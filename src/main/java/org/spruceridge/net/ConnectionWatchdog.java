package org.spruceridge.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The first handler of an inbound connection. It admits the connection and sets two deadlines: one for the start of the
 * peer's next request, and one for the receipt of the complete request once it has started.
 */
final class ConnectionWatchdog extends ChannelInboundHandlerAdapter {
    private static final long RECEIVE_TIMEOUT_NANOS = Durations.nanos(10);

    private final Loop loop;
    private final InboundConnections connections;
    private final ServerConnection connection;
    private ChannelHandlerContext context;
    /** The current deadline on the loop's monotonic clock; undefined while the connection is not watched. */
    private long deadlineNanos;

    private boolean isReceiving;
    private boolean isAdmitted;

    ConnectionWatchdog(Loop loop, InboundConnections connections, ServerConnection connection) {
        this.loop = loop;
        this.connections = connections;
        this.connection = connection;
        connection.setWatchdog(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (!connections.admit()) {
            ctx.close();
            return;
        }
        isAdmitted = true;
        context = ctx;
        setDeadline(InboundConnections.IDLE_TIMEOUT_NANOS);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!isReceiving && !connection.isBusy()) {
            isReceiving = true;
            setDeadline(RECEIVE_TIMEOUT_NANOS);
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        release();
        ctx.fireChannelInactive();
    }

    /** Stops counting and watching the connection, which is closed or about to be closed. Idempotent. */
    void release() {
        connections.removeConnection(this, connection);
        if (isAdmitted) {
            isAdmitted = false;
            connections.release();
        }
    }

    /** Called when a request has been received completely. No deadline applies while the peer waits for this node. */
    void onRequestReceived() {
        isReceiving = false;
        connections.unwatch(this);
    }

    /** Called before the response is written: the next request is due within the idle timeout. */
    void beforeResponseIsWritten() {
        if (isAdmitted) {
            setDeadline(connections.idleTimeoutNanos(connection));
        }
    }

    boolean isTimedOut(long now) {
        return now - deadlineNanos >= 0;
    }

    void close() {
        context.close();
    }

    private void setDeadline(long timeoutNanos) {
        deadlineNanos = loop.nanos() + timeoutNanos;
        connections.watch(this);
    }
}
