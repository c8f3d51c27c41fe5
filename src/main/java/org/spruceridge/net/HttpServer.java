package org.spruceridge.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Address;

/**
 * The HTTP server, based on Netty. The number of connections, the size of request bodies and the time to receive a
 * request are limited; see {@link InboundConnections} for how connections share the limit. All handlers run on the
 * event loop.
 */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    private static final int MAX_BODY_BYTES = 64 << 10;

    private final NettyLoop loop;
    private final ConnectionLimiter connectionLimiter;
    private final InboundConnections connections;
    private final RequestQueue requestQueue;
    private final RequestHandler handler;

    /** Connections that carry workers' heartbeats are closed after being idle for {@code workerIdleTimeoutNanos}. */
    public HttpServer(
            NettyLoop loop, ConnectionLimiter connectionLimiter, long workerIdleTimeoutNanos, RequestHandler handler) {
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
        this.connections = new InboundConnections(loop, connectionLimiter, workerIdleTimeoutNanos);
        this.requestQueue = new RequestQueue(loop);
        loop.setBusyCheck(requestQueue::hasQueuedRequests);
        this.handler = handler;
    }

    /** Binds the address and starts listening; throws the cause if the address cannot be bound. */
    public void start(Address address) {
        int backlog = connectionLimiter.maxInboundConnections();
        new ServerBootstrap()
                .group(loop.group())
                .channel(NioServerSocketChannel.class)
                // After a restart of all nodes the whole fleet connects almost simultaneously.
                .option(ChannelOption.SO_BACKLOG, backlog)
                // Accepts the whole backlog in one loop iteration. With Netty's default of 16 connections per iteration
                // and iterations of 0.1 s, workers that tried to reach a busy leader timed out in its backlog.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(backlog))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        addHandlers(channel);
                    }
                })
                .bind(new InetSocketAddress(address.host(), address.port()))
                .syncUninterruptibly();
        LOG.info("HTTP server listening address={}", address);
        connections.startTimeoutChecks();
    }

    private void addHandlers(SocketChannel channel) {
        ServerConnection connection = new ServerConnection(connections, requestQueue, handler);
        channel.pipeline()
                .addLast(new ConnectionWatchdog(loop, connections, connection))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES, true))
                .addLast(connection);
    }
}
