package org.sardinepost.daemon.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.core.routing.UpstreamId;

/** A services text being fetched from a peer. The digests of its sections are fetched first. */
record TextTransfer(UpstreamId peerAddress, PeerOffer offer, Optional<List<TextDigest>> digests, long startNanos) {
    /** The time after which the text is requested from another peer. */
    private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    TextTransfer {
        Objects.requireNonNull(peerAddress);
        Objects.requireNonNull(offer);
        Objects.requireNonNull(digests);
    }

    TextTransfer withDigests(List<TextDigest> received) {
        return new TextTransfer(peerAddress, offer, Optional.of(received), startNanos);
    }

    boolean expired(long nowNanos) {
        return nowNanos - startNanos > TIMEOUT_NANOS;
    }
}
