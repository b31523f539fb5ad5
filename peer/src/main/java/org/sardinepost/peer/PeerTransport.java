package org.sardinepost.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.Hello;

/** Manages the peer connections of one daemon and their shared event loops. */
public final class PeerTransport implements AutoCloseable {
    private static final int EVENT_LOOP_COUNT = 1;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(EVENT_LOOP_COUNT, NioIoHandler.newFactory());
    private final TransportContext context;
    private final DoubleSupplier randomFraction;

    /**
     * Creates the transport without opening any connection.
     *
     * @param ownHello called for each connection, because the held incarnations change over time
     * @param randomFraction random numbers from 0 to 1 for the jitter of reconnection delays
     */
    public PeerTransport(
            Supplier<Hello> ownHello,
            PeerListener listener,
            PeerCounters counters,
            PeerTimings timings,
            DoubleSupplier randomFraction) {
        this.context = new TransportContext(ownHello, listener, counters, timings);
        this.randomFraction = randomFraction;
    }

    /** Starts to accept connections at the address; throws {@link PeerException} if it cannot be bound. */
    public PeerServer listen(UpstreamId address) {
        return PeerServer.start(address, context, eventLoops);
    }

    /** Connects to a peer, and reconnects until the client is closed. */
    public PeerClient connect(UpstreamId address) {
        PeerClient client = new PeerClient(address, context, eventLoops.next(), randomFraction);
        client.start();
        return client;
    }

    @Override
    public void close() {
        eventLoops
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    }
}
