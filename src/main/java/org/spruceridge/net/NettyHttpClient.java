package org.spruceridge.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Address;

/**
 * The client on Netty: persistent connections, one request at a time on each. A connection whose request was given up
 * is closed, so that no answer is ever taken for that of another request.
 */
public final class NettyHttpClient implements HttpClient {
    private static final Logger LOG = LoggerFactory.getLogger(NettyHttpClient.class);
    private static final int MAX_RESPONSE = 16 << 20;
    private static final int CONNECT_MILLIS = 1000;

    /** Behind an idle connection of this age there may be nobody any more. */
    private static final long IDLE_NANOS = Durations.nanos(90);

    /** A timer that fires later than this is late because of the loop, not because of its resolution. */
    private static final long LATE_NANOS = Durations.millis(50);

    private final NettyLoop loop;
    private final ConnectionLimiter connectionLimiter;
    private final Map<Address, Deque<Connection>> idle = new HashMap<>();
    /** All idle connections, the one used least lately first. */
    private final Set<Connection> idleByUse = new LinkedHashSet<>();

    /** All connections count against {@code connectionLimiter}. */
    public NettyHttpClient(NettyLoop loop, ConnectionLimiter connectionLimiter) {
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
        connectionLimiter.makeRoomBy(this::closeLeastUsed);
    }

    @Override
    public Cancellable call(Address to, HttpCall call, long timeoutNanos, Consumer<HttpAnswer> done) {
        Exchange exchange = new Exchange(to, call, done);
        long due = loop.nanos() + timeoutNanos;
        exchange.timeout = loop.after(timeoutNanos, () -> timedOut(exchange, due));
        Connection reused = takeIdle(to);
        if (reused != null) {
            reused.send(exchange);
        } else if (connectionLimiter.exhausted()) {
            loop.execute(() -> exchange.finish(HttpAnswer.notSent()));
        } else {
            connect(exchange);
        }
        return exchange::abandon;
    }

    /**
     * A timer that fires late says that this loop was busy, not that the other side is silent: what has arrived meanwhile
     * is read first. Else a node that is flooded with requests never learns anything from the state service.
     */
    private void timedOut(Exchange exchange, long due) {
        if (loop.nanos() - due > LATE_NANOS) {
            exchange.timeout = loop.after(0, exchange::giveUp); // runs after the network has been looked at
        } else {
            exchange.giveUp();
        }
    }

    private Connection takeIdle(Address to) {
        Deque<Connection> waiting = idle.get(to);
        while (waiting != null && !waiting.isEmpty()) {
            Connection connection = waiting.peek();
            connection.leaveIdle();
            if (connection.channel.isActive()) {
                return connection;
            }
        }
        return null;
    }

    /**
     * Each machine that was sent something has an idle connection here, also long after it is gone: with as many
     * connections in for the reports of those that are there, they would use up the sockets of a leader.
     */
    private boolean closeLeastUsed() {
        if (idleByUse.isEmpty()) {
            return false;
        }
        idleByUse.iterator().next().close();
        return true;
    }

    private void closeAged() {
        long now = loop.nanos();
        while (!idleByUse.isEmpty() && now - idleByUse.iterator().next().idleSince > IDLE_NANOS) {
            closeLeastUsed();
        }
    }

    private void connect(Exchange exchange) {
        Connection connection = new Connection(exchange.to);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_RESPONSE))
                                .addLast(connection);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(new InetSocketAddress(exchange.to.host(), exchange.to.port()));
        connection.channel = connecting.channel();
        connection.channel.closeFuture().addListener(f -> connection.closed());
        connection.opened();
        exchange.connection = connection;
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                exchange.finish(HttpAnswer.notSent());
            } else if (exchange.over) {
                connection.close();
            } else {
                connection.send(exchange);
            }
        });
    }

    /** One request and what becomes of it. */
    private static final class Exchange {
        private final Address to;
        private final HttpCall call;
        private final Consumer<HttpAnswer> done;
        private Cancellable timeout;
        private Connection connection;
        private boolean over;

        Exchange(Address to, HttpCall call, Consumer<HttpAnswer> done) {
            this.to = to;
            this.call = call;
            this.done = done;
        }

        void giveUp() {
            if (!over) {
                boolean sent = connection != null && connection.current == this;
                drop();
                finish(sent ? HttpAnswer.noResponse() : HttpAnswer.notSent());
            }
        }

        void abandon() {
            if (!over) {
                over = true;
                timeout.cancel();
                drop();
            }
        }

        void finish(HttpAnswer answer) {
            if (!over) {
                over = true;
                timeout.cancel();
                done.accept(answer);
            }
        }

        private void drop() {
            if (connection != null) {
                connection.close();
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Address to;
        private Channel channel;
        private Exchange current;
        private boolean counted;
        private long idleSince;

        Connection(Address to) {
            this.to = to;
        }

        void opened() {
            counted = true;
            connectionLimiter.opened();
        }

        void close() {
            closed();
            channel.close();
        }

        void closed() {
            leaveIdle();
            if (counted) {
                counted = false;
                connectionLimiter.closed();
            }
        }

        private void becomeIdle() {
            idleSince = loop.nanos();
            idle.computeIfAbsent(to, a -> new ArrayDeque<>()).push(this);
            idleByUse.add(this);
            closeAged();
            connectionLimiter.trim();
        }

        void leaveIdle() {
            if (!idleByUse.remove(this)) {
                return;
            }
            Deque<Connection> waiting = idle.get(to);
            waiting.remove(this);
            if (waiting.isEmpty()) {
                idle.remove(to);
            }
        }

        void send(Exchange exchange) {
            current = exchange;
            exchange.connection = this;
            HttpCall call = exchange.call;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(call.method()),
                    call.target(),
                    Unpooled.wrappedBuffer(call.body()));
            request.headers().set(HttpHeaderNames.HOST, to.toString());
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            if (call.body().length > 0) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            }
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Exchange exchange = current;
            current = null;
            if (exchange == null || response.decoderResult().isFailure()) {
                ctx.close();
                if (exchange != null) {
                    exchange.finish(HttpAnswer.noResponse());
                }
                return;
            }
            HttpAnswer answer = new HttpAnswer(response.status().code(), ByteBufUtil.getBytes(response.content()));
            if (HttpUtil.isKeepAlive(response)) {
                becomeIdle();
            } else {
                ctx.close();
            }
            exchange.finish(answer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            closed();
            fail();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("a fault while an answer was taken", cause); // ours, and not the network's
            }
            ctx.close();
            fail();
        }

        private void fail() {
            Exchange exchange = current;
            current = null;
            if (exchange != null) {
                exchange.finish(HttpAnswer.noResponse());
            }
        }
    }
}
