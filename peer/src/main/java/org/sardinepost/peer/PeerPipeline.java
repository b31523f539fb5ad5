package org.sardinepost.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Sets up the handlers that both ends of a connection have. */
final class PeerPipeline extends ChannelInitializer<Channel> {
    private final PeerContext peer;
    private final Supplier<ChannelHandler> last;

    PeerPipeline(PeerContext peer, Supplier<ChannelHandler> last) {
        this.peer = peer;
        this.last = last;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(new IdleStateHandler(peer.timings().timeoutMillis(), 0, 0, TimeUnit.MILLISECONDS))
                .addLast(new ProtobufVarint32FrameDecoder(PeerProtocol.MAX_FRAME_BYTES))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new FrameReader(peer.counters()))
                .addLast(new FrameWriter(peer.counters()))
                .addLast(last.get());
    }
}
