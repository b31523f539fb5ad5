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

/** Accepts the connections that other daemons open. */
public final class PeerServer implements AutoCloseable {
    private final Channel listening;
    private final ChannelGroup accepted;

    private PeerServer(Channel listening, ChannelGroup accepted) {
        this.listening = listening;
        this.accepted = accepted;
    }

    static PeerServer start(UpstreamId address, PeerContext peer, EventLoopGroup loops) {
        ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new PeerPipeline(peer, () -> new InboundHandler(peer, accepted)));
        ChannelFuture bound = bootstrap.bind(address.host(), address.port()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerException(
                    PeerFault.CONNECTION_FAILED,
                    "the peer address " + address + " cannot be opened: "
                            + bound.cause().getMessage() + "; choose a free peer-address in the settings",
                    bound.cause());
        }
        return new PeerServer(bound.channel(), accepted);
    }

    /** The port that is open; differs from the requested one if that was 0. */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    @Override
    public void close() {
        listening.close().awaitUninterruptibly();
        accepted.close().awaitUninterruptibly();
    }
}
