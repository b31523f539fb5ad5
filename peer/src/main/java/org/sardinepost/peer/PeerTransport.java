package org.sardinepost.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.Hello;

/** The peer connections of one daemon and the event loops that they share. */
public final class PeerTransport implements AutoCloseable {
    private static final int EVENT_LOOPS = 1;
    private static final long SHUTDOWN_LIMIT_MILLIS = 2_000;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final PeerContext peer;
    private final DoubleSupplier random;

    /**
     * Creates the transport; nothing is opened yet.
     *
     * @param ownHello asked for each connection, since the held incarnations change
     * @param random numbers from 0 to 1 for the jitter of reconnections
     */
    public PeerTransport(
            Supplier<Hello> ownHello,
            PeerListener listener,
            PeerCounters counters,
            PeerTimings timings,
            DoubleSupplier random) {
        this.peer = new PeerContext(ownHello, listener, counters, timings);
        this.random = random;
    }

    /** Opens the peer address; fails with {@link PeerException} if it is taken. */
    public PeerServer listen(UpstreamId address) {
        return PeerServer.start(address, peer, loops);
    }

    /** Connects to a peer and keeps connecting until the client is closed. */
    public PeerClient connect(UpstreamId address) {
        PeerClient client = new PeerClient(address, peer, loops.next(), random);
        client.start();
        return client;
    }

    @Override
    public void close() {
        loops.shutdownGracefully(0, SHUTDOWN_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_LIMIT_MILLIS);
    }
}
