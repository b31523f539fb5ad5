package org.sardinepost.daemon.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Imports the token tables of other incarnations. Importing the same image again must have no effect. */
@FunctionalInterface
public interface HandoverReceiver {
    /** Imports a token table. Completes when this daemon has become responsible for the incarnation's tokens. */
    CompletableFuture<Void> receive(long incarnation, List<byte[]> frames);
}
