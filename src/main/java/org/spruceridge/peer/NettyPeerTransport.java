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

/** The peer link on Netty: one connection out to each other node, frames with a length before them. */
public final class NettyPeerTransport implements PeerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(NettyPeerTransport.class);
    private static final int MAX_FRAME = 1 << 20;
    private static final int HEADER = 4;
    private static final int CONNECT_MILLIS = 1000;
    /** A peer that takes no more of what is sent to it is not there: the connection is made anew. */
    private static final long MOST_UNSENT = 4L * MAX_FRAME;

    private final EventLoopGroup group;
    private final Address listen;
    private final List<Address> others;
    private final Map<Address, Channel> out = new HashMap<>();
    private Consumer<byte[]> incoming = frame -> {};

    /** One connection is kept to each of {@code others}. */
    public NettyPeerTransport(EventLoopGroup group, Address listen, List<Address> others) {
        this.group = group;
        this.listen = listen;
        this.others = others;
    }

    /** Listens; throws if the address cannot be had. Called before the loop is in use. */
    public void listen() {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline()
                                .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME, 0, HEADER, 0, HEADER))
                                .addLast(new Incoming(frame -> incoming.accept(frame)));
                    }
                })
                .bind(new InetSocketAddress(listen.host(), listen.port()))
                .syncUninterruptibly();
        LOG.info("listening for peers on {}", listen);
    }

    @Override
    public void start(Consumer<byte[]> taker) {
        incoming = taker;
    }

    @Override
    public void broadcast(byte[] frame) {
        for (Address peer : others) {
            Channel channel = out.get(peer);
            if (channel == null || !channel.isOpen()) {
                out.put(peer, connect(peer));
            } else if (channel.isActive()) {
                if (channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MOST_UNSENT) {
                    channel.close();
                } else {
                    channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
                }
            }
        }
    }

    private Channel connect(Address peer) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new LengthFieldPrepender(HEADER)).addLast(new Incoming(frame -> {}));
                    }
                })
                .connect(new InetSocketAddress(peer.host(), peer.port()))
                .channel();
    }

    private static final class Incoming extends SimpleChannelInboundHandler<ByteBuf> {
        private final Consumer<byte[]> incoming;

        Incoming(Consumer<byte[]> incoming) {
            this.incoming = incoming;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            incoming.accept(ByteBufUtil.getBytes(frame));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debug("peer connection closed: {}", cause.toString());
            ctx.close();
        }
    }
}
