package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;

/** Delays new dispatches while the state of the daemon may be outdated, for example after a pause of the process. */
@FunctionalInterface
public interface DispatchGate {
    /** Returns a future that completes when dispatches may start; it is usually complete already. */
    CompletableFuture<Void> whenOpen();

    static DispatchGate alwaysOpen() {
        CompletableFuture<Void> completed = CompletableFuture.completedFuture(null);
        return () -> completed;
    }
}
