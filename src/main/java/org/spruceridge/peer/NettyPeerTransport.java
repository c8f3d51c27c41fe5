package org.spruceridge.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.config.Address;

/** A peer transport based on Netty. It sends length-prefixed frames over one outgoing TCP connection to each peer. */
public final class NettyPeerTransport implements PeerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(NettyPeerTransport.class);
    private static final int MAX_FRAME_BYTES = 1 << 20;
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    /** A connection with more unsent bytes than this is closed and replaced, because the peer is presumed dead. */
    private static final long MAX_PENDING_BYTES = 4L * MAX_FRAME_BYTES;

    private final EventLoopGroup group;
    private final Address listenAddress;
    private final List<Address> peers;
    private final Map<Address, Channel> connections = new HashMap<>();
    private Consumer<byte[]> frameReceiver = frame -> {};

    /** Creates a transport that opens one connection to each of {@code peers}, and reopens it when it is closed. */
    public NettyPeerTransport(EventLoopGroup group, Address listenAddress, List<Address> peers) {
        this.group = group;
        this.listenAddress = listenAddress;
        this.peers = peers;
    }

    /**
     * Starts listening for peers. Throws if the address cannot be bound. Call this method before the event loop is in
     * use, because the method blocks.
     */
    public void listen() {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                                .addLast(new FrameHandler(frame -> frameReceiver.accept(frame)));
                    }
                })
                .bind(new InetSocketAddress(listenAddress.host(), listenAddress.port()))
                .syncUninterruptibly();
        LOG.info("listening for peers address={}", listenAddress);
    }

    @Override
    public void start(Consumer<byte[]> frameReceiver) {
        this.frameReceiver = frameReceiver;
    }

    @Override
    public void broadcast(byte[] frame) {
        for (Address peer : peers) {
            send(peer, frame);
        }
    }

    private void send(Address peer, byte[] frame) {
        Channel channel = connections.get(peer);
        if (channel == null || !channel.isOpen()) {
            connections.put(peer, connect(peer));
            return;
        }
        if (!channel.isActive()) {
            return; // still connecting
        }
        if (channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_PENDING_BYTES) {
            channel.close();
        } else {
            channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
        }
    }

    private Channel connect(Address peer) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                                .addLast(new FrameHandler(frame -> {}));
                    }
                })
                .connect(new InetSocketAddress(peer.host(), peer.port()))
                .channel();
    }

    private static final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Consumer<byte[]> frameReceiver;

        FrameHandler(Consumer<byte[]> frameReceiver) {
            this.frameReceiver = frameReceiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            frameReceiver.accept(ByteBufUtil.getBytes(frame));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug("peer connection closed reason={}", cause.toString());
            context.close();
        }
    }
}
