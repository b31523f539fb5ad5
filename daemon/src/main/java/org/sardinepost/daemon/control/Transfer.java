package org.sardinepost.daemon.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.core.routing.UpstreamId;

/** A services text that is being fetched from a peer; the digests of its sections come first. */
record Transfer(UpstreamId from, PeerOffer offer, Optional<List<TextDigest>> digests, long startNanos) {
    /** After this time the text is requested from another peer. */
    private static final long LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    Transfer {
        Objects.requireNonNull(from);
        Objects.requireNonNull(offer);
        Objects.requireNonNull(digests);
    }

    Transfer withDigests(List<TextDigest> received) {
        return new Transfer(from, offer, Optional.of(received), startNanos);
    }

    boolean expired(long nowNanos) {
        return nowNanos - startNanos > LIMIT_NANOS;
    }
}
