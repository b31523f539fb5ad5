package org.sardinepost.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.group.ChannelGroup;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** The accepting end of a connection. It sends only its Hello and returns heartbeats. */
final class InboundHandler extends ConnectionHandler {
    private final ChannelGroup accepted;
    private boolean introduced;

    InboundHandler(PeerContext peer, ChannelGroup accepted) {
        super(peer);
        this.accepted = accepted;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        accepted.add(context.channel());
    }

    @Override
    void hello(ChannelHandlerContext context, Hello hello) {
        if (!introduced) {
            introduced = true;
            write(context, peer().helloMessage());
        }
        peer().listener().inboundHello(hello);
    }

    @Override
    void message(ChannelHandlerContext context, Hello sender, PeerMessage message) {
        if (message.hasHeartbeat()) {
            write(context, message);
            return;
        }
        peer().listener().message(sender, message);
    }
}
