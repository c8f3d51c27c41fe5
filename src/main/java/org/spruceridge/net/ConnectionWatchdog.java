package org.spruceridge.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The first handler of an inbound connection: admits it, and sets the deadlines by which the peer must have sent its next
 * request and, once that has begun, all of it.
 */
final class ConnectionWatchdog extends ChannelInboundHandlerAdapter {
    private static final long RECEIVE_TIMEOUT_NANOS = Durations.nanos(10);

    private final Loop loop;
    private final InboundConnections connections;
    private final ServerConnection connection;
    private ChannelHandlerContext context;
    /** When the peer times out, on the loop's monotonic clock; meaningless while the connection is not watched. */
    private long deadlineNanos;

    private boolean isReceiving;
    private boolean isAdmitted;

    ConnectionWatchdog(Loop loop, InboundConnections connections, ServerConnection connection) {
        this.loop = loop;
        this.connections = connections;
        this.connection = connection;
        connection.watchdog(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (!connections.admit()) {
            ctx.close();
            return;
        }
        isAdmitted = true;
        context = ctx;
        watchFor(InboundConnections.IDLE_TIMEOUT_NANOS);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!isReceiving && !connection.isBusy()) {
            isReceiving = true;
            watchFor(RECEIVE_TIMEOUT_NANOS);
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        release();
        ctx.fireChannelInactive();
    }

    /** The connection is closed or about to be; may be called twice. */
    void release() {
        connections.forget(this, connection);
        if (isAdmitted) {
            isAdmitted = false;
            connections.release();
        }
    }

    /** The request is complete: the peer waits for this node, and no deadline applies to it. */
    void requestReceived() {
        isReceiving = false;
        connections.unwatch(this);
    }

    /** The response is about to be written; the next request is due within the idle timeout. */
    void responseSent() {
        if (isAdmitted) {
            watchFor(connections.idleTimeoutNanos(connection));
        }
    }

    boolean isTimedOut(long now) {
        return now - deadlineNanos >= 0;
    }

    void close() {
        context.close();
    }

    private void watchFor(long timeoutNanos) {
        deadlineNanos = loop.nanos() + timeoutNanos;
        connections.watch(this);
    }
}
