package org.sardinepost.peer;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** One end of the peer protocol on loopback that records what it is told. */
final class TestNode implements AutoCloseable {
    private static final long SAFETY_SECONDS = 20;

    private final BlockingQueue<Hello> connected = new LinkedBlockingQueue<>();
    private final BlockingQueue<UpstreamId> disconnected = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerException> faults = new LinkedBlockingQueue<>();
    private final PeerCounters counters = new PeerCounters();
    private final PeerTransport transport;
    private final PeerServer server;

    TestNode(long incarnation, int version, int port, PeerTimings timings) {
        PeerListener listener = PeerListener.builder()
                .onConnected((address, hello) -> connected.add(hello))
                .onDisconnected(disconnected::add)
                .onMessage((sender, message) -> messages.add(message))
                .onFault(faults::add)
                .build();
        Hello hello = Hello.newBuilder()
                .setProtocolVersion(version)
                .setPeerAddress("node-" + incarnation)
                .setIncarnation(incarnation)
                .build();
        transport = new PeerTransport(() -> hello, listener, counters, timings, () -> 0.5);
        server = transport.listen(new UpstreamId("127.0.0.1", port));
    }

    static PeerTimings timings() {
        return new PeerTimings(100, 5_000, 1_000, 20, 100);
    }

    static TestNode of(long incarnation) {
        return new TestNode(incarnation, PeerProtocol.VERSION, 0, timings());
    }

    int port() {
        return server.port();
    }

    UpstreamId address() {
        return new UpstreamId("127.0.0.1", port());
    }

    PeerClient connect(UpstreamId address) {
        return transport.connect(address);
    }

    PeerCounters counters() {
        return counters;
    }

    Hello awaitConnected() throws InterruptedException {
        return await(connected);
    }

    UpstreamId awaitDisconnected() throws InterruptedException {
        return await(disconnected);
    }

    PeerMessage awaitMessage() throws InterruptedException {
        return await(messages);
    }

    PeerException awaitFault() throws InterruptedException {
        return await(faults);
    }

    private static <T> T await(BlockingQueue<T> queue) throws InterruptedException {
        T taken = queue.poll(SAFETY_SECONDS, TimeUnit.SECONDS);
        if (taken == null) {
            throw new AssertionError("nothing arrived within " + SAFETY_SECONDS + " s");
        }
        return taken;
    }

    @Override
    public void close() {
        server.close();
        transport.close();
    }
}
