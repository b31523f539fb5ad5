package org.sardinepost.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.sardinepost.core.routing.UpstreamId;

/** Accepts connections from other daemons. */
public final class PeerServer implements AutoCloseable {
    private final Channel serverChannel;
    private final ChannelGroup acceptedChannels;

    private PeerServer(Channel serverChannel, ChannelGroup acceptedChannels) {
        this.serverChannel = serverChannel;
        this.acceptedChannels = acceptedChannels;
    }

    static PeerServer start(UpstreamId address, TransportContext transport, EventLoopGroup eventLoops) {
        ChannelGroup acceptedChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new PeerChannelInitializer(transport, () -> new InboundHandler(transport, acceptedChannels)));
        ChannelFuture bindFuture =
                bootstrap.bind(address.host(), address.port()).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new PeerException(
                    PeerFault.CONNECTION_FAILED,
                    "the peer address " + address + " cannot be bound: "
                            + bindFuture.cause().getMessage() + "; choose a free peer-address in the settings",
                    bindFuture.cause());
        }
        return new PeerServer(bindFuture.channel(), acceptedChannels);
    }

    /** Returns the bound port, which differs from the requested one if that was 0. */
    public int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    @Override
    public void close() {
        serverChannel.close().awaitUninterruptibly();
        acceptedChannels.close().awaitUninterruptibly();
    }
}
