package org.sardinepost.daemon.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Hands the token table of an incarnation to one peer. */
@FunctionalInterface
public interface HandoverTransport {
    /**
     * Sends the frames of a table image, again after a lost connection, but always to the same peer.
     *
     * <p>Completes when the peer acknowledged the import. Fails with {@link HandoverFailedException}.
     */
    CompletableFuture<Void> send(long incarnation, List<byte[]> frames);
}
