package org.spruceridge.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.config.Address;

/**
 * The HTTP client on Netty: persistent connections, one request at a time on each. The connection of a request that timed
 * out or was cancelled is closed, so that no response is ever taken for that of another request. Runs on the event loop.
 */
public final class NettyHttpClient implements HttpClient {
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    /** A timer that fires later than this was delayed by a busy loop, not by the timer's resolution. */
    private static final long MAX_TIMER_DELAY_NANOS = Durations.millis(50);

    private final NettyLoop loop;
    private final ConnectionLimiter connectionLimiter;
    private final ConnectionPool pool;

    /** All connections count against {@code connectionLimiter}. */
    public NettyHttpClient(NettyLoop loop, ConnectionLimiter connectionLimiter) {
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
        this.pool = new ConnectionPool(loop, connectionLimiter);
        connectionLimiter.makeRoomBy(pool::closeLeastRecentlyUsed);
    }

    @Override
    public Cancellable call(Address to, HttpCall call, long timeoutNanos, Consumer<HttpAnswer> done) {
        HttpExchange exchange = new HttpExchange(to, call, done);
        long deadline = loop.nanos() + timeoutNanos;
        exchange.timeout(loop.after(timeoutNanos, () -> timedOut(exchange, deadline)));
        Optional<ClientConnection> pooled = pool.take(to);
        if (pooled.isPresent()) {
            pooled.get().send(exchange);
        } else if (connectionLimiter.isExhausted()) {
            loop.execute(() -> exchange.complete(HttpAnswer.notSent()));
        } else {
            connect(exchange);
        }
        return exchange::cancel;
    }

    /**
     * A timer that fires late says that this loop was busy, not that the peer is silent: what has arrived meanwhile is read
     * first. Otherwise a node flooded with requests would never see a response of the state service.
     */
    private void timedOut(HttpExchange exchange, long deadline) {
        if (loop.nanos() - deadline > MAX_TIMER_DELAY_NANOS) {
            exchange.timeout(loop.after(0, exchange::timeOut)); // runs after pending network input has been read
        } else {
            exchange.timeOut();
        }
    }

    private void connect(HttpExchange exchange) {
        ClientConnection connection = new ClientConnection(exchange.to(), pool, connectionLimiter);
        ChannelFuture connecting = bootstrap(connection)
                .connect(new InetSocketAddress(
                        exchange.to().host(), exchange.to().port()));
        connection.opened(connecting.channel());
        exchange.connection(connection);
        connecting.addListener(result -> {
            if (!result.isSuccess()) {
                exchange.complete(HttpAnswer.notSent());
            } else if (exchange.isOver()) {
                connection.close();
            } else {
                connection.send(exchange);
            }
        });
    }

    private Bootstrap bootstrap(ClientConnection connection) {
        return new Bootstrap()
                .group(loop.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                                .addLast(connection);
                    }
                });
    }
}
