package org.sardinepost.daemon.control;

import java.util.Optional;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.PeerClient;
import org.sardinepost.peer.generated.Hello;

/** What the control thread knows of one peer. */
final class Peer {
    private final UpstreamId address;
    private final PeerClient client;
    private Optional<Hello> hello = Optional.empty();
    private Optional<PeerOffer> offer = Optional.empty();
    private Optional<PeerOffer> offeredToIt = Optional.empty();
    private boolean connected;
    private boolean leaving;
    private long heardNanos;

    Peer(UpstreamId address, PeerClient client, long nowNanos) {
        this.address = address;
        this.client = client;
        this.heardNanos = nowNanos;
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

    /** Whether it can be given work: connected and not stopping. */
    boolean active() {
        return connected && !leaving;
    }

    boolean leaving() {
        return leaving;
    }

    long heardNanos() {
        return heardNanos;
    }

    /** What it last said that it holds. */
    Optional<PeerOffer> offer() {
        return offer;
    }

    /** What was last offered to it on the present connection. */
    Optional<PeerOffer> offeredToIt() {
        return offeredToIt;
    }

    /** Takes over what the peer says of itself; returns the incarnation that it replaces. */
    Optional<Long> greeted(Hello newHello, long nowNanos) {
        heardNanos = nowNanos;
        Optional<Long> replaced =
                hello.map(Hello::getIncarnation).filter(incarnation -> incarnation != newHello.getIncarnation());
        if (replaced.isPresent()) {
            leaving = false;
            offer = Optional.empty();
        }
        hello = Optional.of(newHello);
        return replaced;
    }

    void connectionOpened() {
        connected = true;
        offeredToIt = Optional.empty();
    }

    void connectionLost(long nowNanos) {
        connected = false;
        heardNanos = nowNanos;
    }

    void said(PeerOffer newOffer, long nowNanos) {
        heardNanos = nowNanos;
        offer = Optional.of(newOffer);
    }

    void forgetOffer() {
        offer = Optional.empty();
    }

    void saidGoodbye() {
        leaving = true;
    }

    void offered(Optional<PeerOffer> newOffer) {
        offeredToIt = newOffer;
    }
}
