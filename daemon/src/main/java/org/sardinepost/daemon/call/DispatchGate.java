package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;

/** Holds new dispatches back while the daemon does not know whether its state is current, for example after a pause. */
@FunctionalInterface
public interface DispatchGate {
    /** Completes when dispatches may start; completed already in the usual case. */
    CompletableFuture<Void> passage();

    static DispatchGate open() {
        CompletableFuture<Void> passed = CompletableFuture.completedFuture(null);
        return () -> passed;
    }
}
