package org.sardinepost.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.sardinepost.peer.generated.Heartbeat;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** The opening end of a connection. */
final class OutboundHandler extends ConnectionHandler {
    private static final PeerMessage HEARTBEAT = PeerMessage.newBuilder()
            .setHeartbeat(Heartbeat.getDefaultInstance())
            .build();

    private final PeerClient client;
    private Future<?> heartbeats;

    OutboundHandler(PeerContext peer, PeerClient client) {
        super(peer);
        this.client = client;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        write(context, peer().helloMessage());
        long interval = peer().timings().heartbeatMillis();
        heartbeats = context.executor()
                .scheduleAtFixedRate(() -> write(context, HEARTBEAT), interval, interval, TimeUnit.MILLISECONDS);
    }

    @Override
    void hello(ChannelHandlerContext context, Hello hello) {
        client.greeted(context.channel(), hello);
    }

    @Override
    void message(ChannelHandlerContext context, Hello sender, PeerMessage message) {
        // The accepting end sends its messages on the connection that it opens itself; here come returned heartbeats.
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        client.drain();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (heartbeats != null) {
            heartbeats.cancel(false);
        }
        client.closed(greeted());
    }
}
