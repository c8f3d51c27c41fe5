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
 * The HTTP client, based on Netty. It uses persistent connections, each with one request at a time. When a request
 * times out or is cancelled, its connection is closed. A late response to this request can therefore not be mistaken
 * for the response to another request. Runs on the event loop.
 */
public final class NettyHttpClient implements HttpClient {
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    /** The maximum delay that the resolution of timers explains. A longer delay means that the loop was busy. */
    private static final long MAX_TIMER_DELAY_NANOS = Durations.millis(50);

    private final NettyLoop loop;
    private final ConnectionLimiter connectionLimiter;
    private final ConnectionPool pool;

    /** Creates a client whose connections all count against the limits of {@code connectionLimiter}. */
    public NettyHttpClient(NettyLoop loop, ConnectionLimiter connectionLimiter) {
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
        this.pool = new ConnectionPool(loop, connectionLimiter);
        connectionLimiter.setIdleConnectionCloser(pool::closeLeastRecentlyUsed);
    }

    @Override
    public Cancellable call(Address address, HttpCall call, long timeoutNanos, Consumer<HttpAnswer> onComplete) {
        HttpExchange exchange = new HttpExchange(address, call, onComplete);
        long deadlineNanos = loop.nanos() + timeoutNanos;
        exchange.setTimeoutTimer(loop.after(timeoutNanos, () -> handleTimeout(exchange, deadlineNanos)));
        Optional<ClientConnection> pooled = pool.take(address);
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
     * Completes the exchange as timed out. A timer that fires late indicates that this loop was busy, not that the peer
     * did not respond. In that case, input that has arrived in the meantime is read first. Otherwise a node flooded
     * with requests would never see a response of the state service.
     */
    private void handleTimeout(HttpExchange exchange, long deadlineNanos) {
        if (loop.nanos() - deadlineNanos > MAX_TIMER_DELAY_NANOS) {
            exchange.setTimeoutTimer(loop.after(0, exchange::onTimeout)); // runs after pending input has been read
        } else {
            exchange.onTimeout();
        }
    }

    private void connect(HttpExchange exchange) {
        ClientConnection connection = new ClientConnection(exchange.address(), pool, connectionLimiter);
        ChannelFuture connectFuture = bootstrap(connection)
                .connect(new InetSocketAddress(
                        exchange.address().host(), exchange.address().port()));
        connection.attach(connectFuture.channel());
        exchange.setConnection(connection);
        connectFuture.addListener(future -> {
            if (!future.isSuccess()) {
                exchange.complete(HttpAnswer.notSent());
            } else if (exchange.isFinished()) {
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
