package org.sardinepost.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.group.ChannelGroup;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** The accepting end of a connection, which sends nothing but its Hello and the heartbeats that it returns. */
final class InboundHandler extends ConnectionHandler {
    private final ChannelGroup acceptedChannels;
    private boolean helloSent;

    InboundHandler(TransportContext transport, ChannelGroup acceptedChannels) {
        super(transport);
        this.acceptedChannels = acceptedChannels;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        acceptedChannels.add(context.channel());
    }

    @Override
    void onHello(ChannelHandlerContext context, Hello hello) {
        if (!helloSent) {
            helloSent = true;
            write(context, transport().helloMessage());
        }
        transport().listener().inboundHelloReceived(hello);
    }

    @Override
    void onMessage(ChannelHandlerContext context, Hello sender, PeerMessage message) {
        if (message.hasHeartbeat()) {
            write(context, message);
            return;
        }
        transport().listener().messageReceived(sender, message);
    }
}
