package org.sardinepost.peer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.util.Optional;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** One end of a connection: Hello first, then messages; any fault closes the connection. */
abstract class ConnectionHandler extends SimpleChannelInboundHandler<PeerMessage> {
    private final PeerContext peer;
    private Optional<Hello> remote = Optional.empty();
    private boolean failed;

    ConnectionHandler(PeerContext peer) {
        super(PeerMessage.class);
        this.peer = peer;
    }

    /** The other side introduced itself, for the first time or again. */
    abstract void hello(ChannelHandlerContext context, Hello hello);

    /** A message other than Hello arrived. */
    abstract void message(ChannelHandlerContext context, Hello sender, PeerMessage message);

    final PeerContext peer() {
        return peer;
    }

    /** Writes a message whose loss needs no action: when the write fails, the connection ends. */
    static void write(ChannelHandlerContext context, PeerMessage message) {
        ChannelFuture unused = context.writeAndFlush(message);
    }

    final boolean greeted() {
        return remote.isPresent();
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext context, PeerMessage message) {
        if (failed) {
            return;
        }
        if (remote.isEmpty() || message.hasHello()) {
            Hello hello = peer.checkHello(message);
            remote = Optional.of(hello);
            hello(context, hello);
            return;
        }
        message(context, remote.get(), message);
    }

    @Override
    public final void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            fail(
                    context,
                    new PeerException(
                            PeerFault.HEARTBEAT_TIMEOUT,
                            "nothing arrived from " + context.channel().remoteAddress() + " for "
                                    + peer.timings().timeoutMillis() + " ms; check the network between the daemons"));
        }
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, typed(context, cause));
    }

    private void fail(ChannelHandlerContext context, PeerException fault) {
        if (!failed) {
            failed = true;
            peer.report(fault);
        }
        if (fault.fault() == PeerFault.VERSION_MISMATCH) {
            // The other side can name both versions only if it receives this one.
            ChannelFuture unused = context.writeAndFlush(peer.helloMessage()).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        ChannelFuture unused = context.close();
    }

    private static PeerException typed(ChannelHandlerContext context, Throwable cause) {
        Throwable root = cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
        if (root instanceof PeerException fault) {
            return fault;
        }
        String address = String.valueOf(context.channel().remoteAddress());
        if (root instanceof TooLongFrameException) {
            return new PeerException(
                    PeerFault.FRAME_TOO_LONG,
                    "a frame from " + address + " exceeds " + PeerProtocol.MAX_FRAME_BYTES
                            + " bytes; check that only sardinepostd connects to the peer address",
                    root);
        }
        if (root instanceof IOException) {
            return new PeerException(
                    PeerFault.CONNECTION_FAILED,
                    "the connection with " + address + " broke: " + root.getMessage()
                            + "; it is opened again by its opener",
                    root);
        }
        return new PeerException(
                PeerFault.MALFORMED_FRAME,
                "the bytes from " + address + " are no peer message: " + root.getMessage()
                        + "; check that only sardinepostd connects to the peer address",
                root);
    }
}
