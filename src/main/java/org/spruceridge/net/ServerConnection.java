package org.spruceridge.net;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One inbound connection. It adds each request to the request queue and writes the response. It handles one request at
 * a time, and it is closed if a request arrives before the previous response was written.
 */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final Logger LOG = LoggerFactory.getLogger(ServerConnection.class);
    /** The response headers are written by this server itself and need no validation. */
    private static final HttpHeadersFactory UNVALIDATED_HEADERS =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private final InboundConnections connections;
    private final RequestQueue requestQueue;
    private final RequestHandler handler;
    private ConnectionWatchdog watchdog;
    private ChannelHandlerContext context;
    private boolean isBusy;

    ServerConnection(InboundConnections connections, RequestQueue requestQueue, RequestHandler handler) {
        this.connections = connections;
        this.requestQueue = requestQueue;
        this.handler = handler;
    }

    /** Sets the watchdog; called once, when the pipeline is created. */
    void setWatchdog(ConnectionWatchdog connectionWatchdog) {
        watchdog = connectionWatchdog;
    }

    /** True from the receipt of a request until its response is written. */
    boolean isBusy() {
        return isBusy;
    }

    /**
     * Closes the connection. Called only if a heartbeat was received on the connection before, because {@code context}
     * is null until then.
     */
    void close() {
        watchdog.release();
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest httpRequest) {
        watchdog.onRequestReceived();
        if (isBusy) {
            ctx.close(); // pipelining is not supported
            return;
        }
        if (httpRequest.decoderResult().isFailure()) {
            write(ctx, Response.error(400, "malformed request"), false);
            return;
        }
        isBusy = true;
        boolean keepAlive = HttpUtil.isKeepAlive(httpRequest);
        Request request = new Request(
                httpRequest.method().name(), path(httpRequest.uri()), ByteBufUtil.getBytes(httpRequest.content()));
        RequestQueue.Priority priority = handler.priority(request);
        if (priority == RequestQueue.Priority.HEARTBEAT) {
            context = ctx;
            connections.recordHeartbeat(this);
        }
        requestQueue.add(priority, new QueuedRequest(ctx, request, keepAlive));
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private final class QueuedRequest implements RequestQueue.PendingRequest {
        private final ChannelHandlerContext ctx;
        private final Request request;
        private final boolean keepAlive;

        QueuedRequest(ChannelHandlerContext ctx, Request request, boolean keepAlive) {
            this.ctx = ctx;
            this.request = request;
            this.keepAlive = keepAlive;
        }

        @Override
        public void run() {
            try {
                handler.handle(request, response -> write(ctx, response, keepAlive));
            } catch (RuntimeException e) {
                LOG.error("request failed method={} path={}", request.method(), request.path(), e);
                if (isBusy) {
                    write(ctx, Response.error(500, "internal error"), false);
                }
            }
        }

        @Override
        public void reject() {
            write(ctx, handler.overloadResponse(request), keepAlive);
        }

        @Override
        public boolean isAbandoned() {
            return !ctx.channel().isActive();
        }
    }

    private void write(ChannelHandlerContext ctx, Response response, boolean keepAlive) {
        isBusy = false;
        if (!ctx.channel().isActive()) {
            return;
        }
        FullHttpResponse httpResponse = encode(response);
        if (!keepAlive) {
            httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        watchdog.beforeResponseIsWritten();
        ctx.writeAndFlush(httpResponse)
                .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
    }

    private static FullHttpResponse encode(Response response) {
        FullHttpResponse httpResponse = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                Unpooled.wrappedBuffer(response.body()),
                UNVALIDATED_HEADERS,
                UNVALIDATED_HEADERS);
        httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        if (response.retryAfterS() > 0) {
            httpResponse.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfterS());
        }
        return httpResponse;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            LOG.debug("inbound connection closed reason={}", cause.toString());
        } else {
            LOG.error("inbound connection failed by an internal error", cause);
        }
        ctx.close();
    }
}
