package org.sardinepost.daemon.control;

import java.util.Optional;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.PeerClient;
import org.sardinepost.peer.generated.Hello;

/** The state of one peer. Confined to the control thread. */
final class Peer {
    private final UpstreamId address;
    private final PeerClient client;
    private Optional<Hello> hello = Optional.empty();
    private Optional<PeerOffer> offer = Optional.empty();
    private Optional<PeerOffer> lastSentOffer = Optional.empty();
    private boolean connected;
    private boolean stopping;
    private long lastHeardNanos;

    Peer(UpstreamId address, PeerClient client, long nowNanos) {
        this.address = address;
        this.client = client;
        this.lastHeardNanos = nowNanos;
    }

    UpstreamId address() {
        return address;
    }

    PeerClient client() {
        return client;
    }

    Optional<Hello> hello() {
        return hello;
    }

    boolean connected() {
        return connected;
    }

    /** Returns whether the peer can take on work: it is connected and not stopping. */
    boolean active() {
        return connected && !stopping;
    }

    boolean stopping() {
        return stopping;
    }

    long lastHeardNanos() {
        return lastHeardNanos;
    }

    /** Returns the last offer received from the peer. */
    Optional<PeerOffer> offer() {
        return offer;
    }

    /** Returns the last offer sent to the peer on the current connection. */
    Optional<PeerOffer> lastSentOffer() {
        return lastSentOffer;
    }

    /** Replaces the Hello of the peer; returns the previous incarnation if it differs. */
    Optional<Long> updateHello(Hello newHello, long nowNanos) {
        lastHeardNanos = nowNanos;
        Optional<Long> replaced =
                hello.map(Hello::getIncarnation).filter(incarnation -> incarnation != newHello.getIncarnation());
        if (replaced.isPresent()) {
            stopping = false;
            offer = Optional.empty();
        }
        hello = Optional.of(newHello);
        return replaced;
    }

    void markConnected() {
        connected = true;
        lastSentOffer = Optional.empty();
    }

    void markDisconnected(long nowNanos) {
        connected = false;
        lastHeardNanos = nowNanos;
    }

    void recordOffer(PeerOffer newOffer, long nowNanos) {
        lastHeardNanos = nowNanos;
        offer = Optional.of(newOffer);
    }

    void clearOffer() {
        offer = Optional.empty();
    }

    void markStopping() {
        stopping = true;
    }

    void setLastSentOffer(Optional<PeerOffer> newOffer) {
        lastSentOffer = newOffer;
    }
}
