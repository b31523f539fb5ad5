package org.sardinepost.daemon.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Imports the token table of another incarnation. A repeated import of the same image has no further effect. */
@FunctionalInterface
public interface HandoverReceiver {
    /** Completes when this daemon answers for the incarnation's tokens. */
    CompletableFuture<Void> receive(long incarnation, List<byte[]> frames);
}
