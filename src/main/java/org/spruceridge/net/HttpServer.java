package org.spruceridge.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Address;

/**
 * The server on Netty: a handler for each connection, bounded in number, in body size and in time. Connections on which
 * workers report have a share of their own, and when that is used up the one goes that has been silent longest: its
 * worker opens another if it is still there. So neither dead connections in nor a whole fleet shut anyone out.
 */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    private static final int MAX_BODY = 64 << 10;
    private static final long REQUEST_NANOS = Durations.nanos(10);
    private static final long IDLE_NANOS = Durations.nanos(90);
    /** Connections are looked over this often: a timer for each request costs more than all the looks. */
    private static final long LOOK_NANOS = Durations.nanos(1);

    /** What we write ourselves needs no check. */
    private static final HttpHeadersFactory OWN_HEADERS =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private final NettyLoop loop;
    private final ConnectionLimiter connectionLimiter;
    private final long workerIdleNanos;
    private final RequestQueue requestQueue;
    private final RequestHandler handler;
    /** Connections on which workers report, the one silent longest first. */
    private final Set<Connection> workers = new LinkedHashSet<>();

    private final Set<Watchdog> watched = new LinkedHashSet<>();
    private int connections;

    /** Connections on which workers report are closed after {@code workerIdleNanos} of silence. */
    public HttpServer(
            NettyLoop loop, ConnectionLimiter connectionLimiter, long workerIdleNanos, RequestHandler handler) {
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
        this.requestQueue = new RequestQueue(loop);
        loop.busyWhile(requestQueue::waiting);
        this.workerIdleNanos = workerIdleNanos;
        this.handler = handler;
    }

    /** Listens; throws if the address cannot be had. */
    public void start(Address address) {
        new ServerBootstrap()
                .group(loop.group())
                .channel(NioServerSocketChannel.class)
                // After a restart of all nodes the whole fleet connects within a moment.
                .option(ChannelOption.SO_BACKLOG, connectionLimiter.mostInbound())
                // All that wait are accepted at once. At Netty's default of 16 a turn, and turns of a tenth of a
                // second,
                // workers that look for a busy leader waited in the backlog until they had given up.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(connectionLimiter.mostInbound()))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        Connection connection = new Connection();
                        ch.pipeline()
                                .addLast(new Watchdog(connection))
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY, true))
                                .addLast(connection);
                    }
                })
                .bind(new InetSocketAddress(address.host(), address.port()))
                .syncUninterruptibly();
        LOG.info("listening on {}", address);
        loop.after(LOOK_NANOS, this::look);
    }

    private void look() {
        long now = loop.nanos();
        watched.stream().filter(w -> now - w.until >= 0).toList().forEach(Watchdog::close);
        loop.after(LOOK_NANOS, this::look);
    }

    /** Closes connections that are silent between requests, or that send one too slowly. */
    private final class Watchdog extends ChannelInboundHandlerAdapter {
        private final Connection connection;
        private ChannelHandlerContext context;
        /** When it will have been silent, or have sent too slowly, for too long; of no meaning while it is not watched. */
        private long until;

        private boolean receiving;
        private boolean counted;

        Watchdog(Connection connection) {
            this.connection = connection;
            connection.watchdog = this;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections >= connectionLimiter.mostInbound() && !closeSilentWorker()) {
                ctx.close();
                return;
            }
            connections++;
            counted = true;
            connectionLimiter.opened();
            context = ctx;
            expect(IDLE_NANOS);
            ctx.fireChannelActive();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (!receiving && !connection.busy) {
                receiving = true;
                expect(REQUEST_NANOS);
            }
            ctx.fireChannelRead(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            closed();
            ctx.fireChannelInactive();
        }

        void closed() {
            watched.remove(this);
            workers.remove(connection);
            if (counted) {
                counted = false;
                connections--;
                connectionLimiter.closed();
            }
        }

        void received() {
            receiving = false;
            watched.remove(this); // while it waits for us
        }

        void answered() {
            if (counted) {
                expect(workers.contains(connection) ? workerIdleNanos : IDLE_NANOS);
            }
        }

        private void expect(long nanos) {
            until = loop.nanos() + nanos;
            watched.add(this);
        }

        private void close() {
            context.close();
        }
    }

    private boolean closeSilentWorker() {
        if (workers.isEmpty()) {
            return false;
        }
        workers.iterator().next().close();
        return true;
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Watchdog watchdog;
        private ChannelHandlerContext context;
        private boolean busy;

        void close() {
            watchdog.closed();
            context.close();
        }

        private void isOfWorker(ChannelHandlerContext ctx) {
            context = ctx;
            workers.remove(this);
            if (workers.size() >= connectionLimiter.mostOfWorkers()) {
                closeSilentWorker();
            }
            workers.add(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            watchdog.received();
            if (busy) {
                ctx.close(); // the protocol knows no pipelining
                return;
            }
            if (request.decoderResult().isFailure()) {
                write(ctx, Response.error(400, "malformed request"), false);
                return;
            }
            busy = true;
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            Request read =
                    new Request(request.method().name(), path(request.uri()), ByteBufUtil.getBytes(request.content()));
            RequestQueue.Priority priority = handler.priority(read);
            if (priority == RequestQueue.Priority.HEARTBEAT) {
                isOfWorker(ctx);
            }
            requestQueue.add(priority, new RequestQueue.Work() {
                @Override
                public void run() {
                    handle(ctx, read, keepAlive);
                }

                @Override
                public void reject() {
                    write(ctx, handler.refusal(read), keepAlive);
                }

                @Override
                public boolean abandoned() {
                    return !ctx.channel().isActive();
                }
            });
        }

        private void handle(ChannelHandlerContext ctx, Request request, boolean keepAlive) {
            try {
                handler.handle(request, response -> write(ctx, response, keepAlive));
            } catch (RuntimeException e) {
                LOG.error("a request failed: {} {}", request.method(), request.path(), e);
                if (busy) {
                    write(ctx, Response.error(500, "internal error"), false);
                }
            }
        }

        private void write(ChannelHandlerContext ctx, Response response, boolean keepAlive) {
            busy = false;
            if (!ctx.channel().isActive()) {
                return;
            }
            FullHttpResponse out = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.wrappedBuffer(response.body()),
                    OWN_HEADERS,
                    OWN_HEADERS);
            out.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            out.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            if (response.retryAfterS() > 0) {
                out.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfterS());
            }
            if (!keepAlive) {
                out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            watchdog.answered();
            ctx.writeAndFlush(out)
                    .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException) {
                LOG.debug("connection closed: {}", cause.toString());
            } else {
                LOG.error("a fault while a request was taken", cause); // ours, and not the network's
            }
            ctx.close();
        }

        private static String path(String uri) {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }
    }
}
