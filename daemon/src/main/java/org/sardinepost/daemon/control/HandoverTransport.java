package org.sardinepost.daemon.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Sends the token table of an incarnation to one peer. */
@FunctionalInterface
public interface HandoverTransport {
    /**
     * Sends the frames of a table image. After a lost connection they are sent again, always to the same peer.
     *
     * <p>The future completes when the peer has acknowledged the import, and fails with {@link
     * HandoverFailedException}.
     */
    CompletableFuture<Void> send(long incarnation, List<byte[]> frames);
}
