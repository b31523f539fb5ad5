package org.sardinepost.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.sardinepost.peer.generated.Heartbeat;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** The connecting end of a connection. */
final class OutboundHandler extends ConnectionHandler {
    private static final PeerMessage HEARTBEAT = PeerMessage.newBuilder()
            .setHeartbeat(Heartbeat.getDefaultInstance())
            .build();

    private final PeerClient client;
    private Future<?> heartbeatTask;

    OutboundHandler(TransportContext transport, PeerClient client) {
        super(transport);
        this.client = client;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        write(context, transport().helloMessage());
        long intervalMillis = transport().timings().heartbeatIntervalMillis();
        heartbeatTask = context.executor()
                .scheduleAtFixedRate(
                        () -> write(context, HEARTBEAT), intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    void onHello(ChannelHandlerContext context, Hello hello) {
        client.onHello(context.channel(), hello);
    }

    @Override
    void onMessage(ChannelHandlerContext context, Hello sender, PeerMessage message) {
        // Only returned heartbeats arrive here. The remote daemon sends messages on the connection that it opened.
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        client.flushQueue();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (heartbeatTask != null) {
            heartbeatTask.cancel(false);
        }
        client.onChannelClosed(handshakeCompleted());
    }
}
