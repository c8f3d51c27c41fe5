package org.spruceridge.net;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Address;

/** One outbound connection. It carries one exchange at a time and returns to the pool after each response. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

    private final Address address;
    private final ConnectionPool pool;
    private final ConnectionLimiter connectionLimiter;
    private Channel channel;
    /** The exchange in progress, or null. */
    private HttpExchange currentExchange;

    private boolean isCounted;
    private long idleSinceNanos;

    ClientConnection(Address address, ConnectionPool pool, ConnectionLimiter connectionLimiter) {
        this.address = address;
        this.pool = pool;
        this.connectionLimiter = connectionLimiter;
    }

    Address address() {
        return address;
    }

    boolean isActive() {
        return channel.isActive();
    }

    boolean isCarrying(HttpExchange exchange) {
        return currentExchange == exchange;
    }

    /** The time at which the connection became idle, on the loop's monotonic clock. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void setIdleSince(long nanos) {
        idleSinceNanos = nanos;
    }

    /**
     * Sets the channel, which need not be connected yet. The channel counts against the connection limit until it is
     * closed.
     */
    void attach(Channel newChannel) {
        channel = newChannel;
        channel.closeFuture().addListener(future -> release());
        isCounted = true;
        connectionLimiter.recordOpened();
    }

    void close() {
        release();
        channel.close();
    }

    private void release() {
        pool.remove(this);
        if (isCounted) {
            isCounted = false;
            connectionLimiter.recordClosed();
        }
    }

    void send(HttpExchange exchange) {
        currentExchange = exchange;
        exchange.setConnection(this);
        HttpCall call = exchange.call();
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.target(),
                Unpooled.wrappedBuffer(call.body()));
        request.headers().set(HttpHeaderNames.HOST, address.toString());
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        if (call.body().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        channel.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        HttpExchange exchange = currentExchange;
        currentExchange = null;
        if (exchange == null || response.decoderResult().isFailure()) {
            ctx.close();
            if (exchange != null) {
                exchange.complete(HttpAnswer.noResponse());
            }
            return;
        }
        HttpAnswer answer = new HttpAnswer(response.status().code(), ByteBufUtil.getBytes(response.content()));
        if (HttpUtil.isKeepAlive(response)) {
            pool.add(this);
        } else {
            ctx.close();
        }
        exchange.complete(answer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        release();
        failCurrent();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.error("outbound connection failed by an internal error", cause);
        }
        ctx.close();
        failCurrent();
    }

    private void failCurrent() {
        HttpExchange exchange = currentExchange;
        currentExchange = null;
        if (exchange != null) {
            exchange.complete(HttpAnswer.noResponse());
        }
    }
}
