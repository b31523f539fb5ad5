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

/** Common protocol handling of both ends of a connection: Hello comes first, and any fault closes the connection. */
abstract class ConnectionHandler extends SimpleChannelInboundHandler<PeerMessage> {
    private final TransportContext transport;
    private Optional<Hello> remoteHello = Optional.empty();
    private boolean failed;

    ConnectionHandler(TransportContext transport) {
        super(PeerMessage.class);
        this.transport = transport;
    }

    /** Handles the first Hello of the remote daemon, or an updated one. */
    abstract void onHello(ChannelHandlerContext context, Hello hello);

    /** Handles a message other than Hello. */
    abstract void onMessage(ChannelHandlerContext context, Hello sender, PeerMessage message);

    final TransportContext transport() {
        return transport;
    }

    /** Writes a message without checking the result, because a failed write closes the connection. */
    static void write(ChannelHandlerContext context, PeerMessage message) {
        ChannelFuture unused = context.writeAndFlush(message);
    }

    final boolean handshakeCompleted() {
        return remoteHello.isPresent();
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext context, PeerMessage message) {
        if (failed) {
            return;
        }
        if (remoteHello.isEmpty() || message.hasHello()) {
            Hello hello = transport.checkHello(message);
            remoteHello = Optional.of(hello);
            onHello(context, hello);
            return;
        }
        onMessage(context, remoteHello.get(), message);
    }

    @Override
    public final void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            closeAfter(
                    context,
                    new PeerException(
                            PeerFault.HEARTBEAT_TIMEOUT,
                            "received no data from " + context.channel().remoteAddress() + " for "
                                    + transport.timings().idleTimeoutMillis()
                                    + " ms; check the network between the daemons"));
        }
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeAfter(context, toPeerException(context, cause));
    }

    private void closeAfter(ChannelHandlerContext context, PeerException fault) {
        if (!failed) {
            failed = true;
            transport.report(fault);
        }
        if (fault.fault() == PeerFault.VERSION_MISMATCH) {
            // The remote daemon can report both versions only if it receives this daemon's Hello.
            ChannelFuture unused =
                    context.writeAndFlush(transport.helloMessage()).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        ChannelFuture unused = context.close();
    }

    private static PeerException toPeerException(ChannelHandlerContext context, Throwable cause) {
        Throwable actualCause =
                cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
        if (actualCause instanceof PeerException fault) {
            return fault;
        }
        String remoteAddress = String.valueOf(context.channel().remoteAddress());
        if (actualCause instanceof TooLongFrameException) {
            return new PeerException(
                    PeerFault.FRAME_TOO_LONG,
                    "a frame from " + remoteAddress + " exceeds " + PeerProtocol.MAX_FRAME_BYTES
                            + " bytes; check that only sardinepostd connects to the peer address",
                    actualCause);
        }
        if (actualCause instanceof IOException) {
            return new PeerException(
                    PeerFault.CONNECTION_FAILED,
                    "the connection to " + remoteAddress + " failed: " + actualCause.getMessage()
                            + "; the daemon that opened it will reconnect",
                    actualCause);
        }
        return new PeerException(
                PeerFault.MALFORMED_FRAME,
                "data from " + remoteAddress + " is not a valid peer message: " + actualCause.getMessage()
                        + "; check that only sardinepostd connects to the peer address",
                actualCause);
    }
}
