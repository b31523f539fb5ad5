package org.sardinepost.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageEncoder;
import java.util.List;
import org.sardinepost.peer.generated.PeerMessage;

/** Encodes messages as frames and counts them. */
final class PeerMessageEncoder extends MessageToMessageEncoder<PeerMessage> {
    private final PeerCounters counters;

    PeerMessageEncoder(PeerCounters counters) {
        super(PeerMessage.class);
        this.counters = counters;
    }

    @Override
    protected void encode(ChannelHandlerContext context, PeerMessage message, List<Object> out) {
        byte[] frame = message.toByteArray();
        if (frame.length > PeerProtocol.MAX_FRAME_BYTES) {
            throw new PeerException(
                    PeerFault.FRAME_TOO_LONG,
                    "a message of " + frame.length + " bytes exceeds the frame limit of " + PeerProtocol.MAX_FRAME_BYTES
                            + "; split it into smaller messages");
        }
        counters.recordSent(MessageKind.of(message), frame.length);
        out.add(Unpooled.wrappedBuffer(frame));
    }
}
