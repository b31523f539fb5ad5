package org.sardinepost.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Sets up the pipeline of a connection, which is the same at both ends except for the last handler. */
final class PeerChannelInitializer extends ChannelInitializer<Channel> {
    private final TransportContext transport;
    private final Supplier<ChannelHandler> handlerFactory;

    PeerChannelInitializer(TransportContext transport, Supplier<ChannelHandler> handlerFactory) {
        this.transport = transport;
        this.handlerFactory = handlerFactory;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(new IdleStateHandler(transport.timings().idleTimeoutMillis(), 0, 0, TimeUnit.MILLISECONDS))
                .addLast(new ProtobufVarint32FrameDecoder(PeerProtocol.MAX_FRAME_BYTES))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new PeerMessageDecoder(transport.counters()))
                .addLast(new PeerMessageEncoder(transport.counters()))
                .addLast(handlerFactory.get());
    }
}
