package org.sardinepost.peer;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** A peer transport on the loopback interface that records its callbacks. */
final class TestNode implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 20;

    private final BlockingQueue<Hello> connectedHellos = new LinkedBlockingQueue<>();
    private final BlockingQueue<UpstreamId> disconnectedAddresses = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerException> faults = new LinkedBlockingQueue<>();
    private final PeerCounters counters = new PeerCounters();
    private final PeerTransport transport;
    private final PeerServer server;

    TestNode(long incarnation, int version, int port, PeerTimings timings) {
        PeerListener listener = PeerListener.builder()
                .onConnected((address, hello) -> connectedHellos.add(hello))
                .onDisconnected(disconnectedAddresses::add)
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
        return awaitNext(connectedHellos);
    }

    UpstreamId awaitDisconnected() throws InterruptedException {
        return awaitNext(disconnectedAddresses);
    }

    PeerMessage awaitMessage() throws InterruptedException {
        return awaitNext(messages);
    }

    PeerException awaitFault() throws InterruptedException {
        return awaitNext(faults);
    }

    private static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T element = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (element == null) {
            throw new AssertionError("no callback within " + TIMEOUT_SECONDS + " s");
        }
        return element;
    }

    @Override
    public void close() {
        server.close();
        transport.close();
    }
}
