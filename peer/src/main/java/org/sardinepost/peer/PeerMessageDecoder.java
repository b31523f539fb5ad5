package org.sardinepost.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.util.List;
import org.sardinepost.peer.generated.PeerMessage;

/** Decodes frames to messages and counts them. */
final class PeerMessageDecoder extends MessageToMessageDecoder<ByteBuf> {
    private final PeerCounters counters;

    PeerMessageDecoder(PeerCounters counters) {
        super(ByteBuf.class);
        this.counters = counters;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out) {
        int frameBytes = frame.readableBytes();
        PeerMessage message = parse(ByteBufUtil.getBytes(frame));
        counters.recordReceived(MessageKind.of(message), frameBytes);
        out.add(message);
    }

    private static PeerMessage parse(byte[] frame) {
        try {
            return PeerMessage.parseFrom(frame);
        } catch (InvalidProtocolBufferException e) {
            throw new PeerException(
                    PeerFault.MALFORMED_FRAME,
                    "the frame is not a valid peer message; check that only sardinepostd connects to the peer address",
                    e);
        }
    }
}
