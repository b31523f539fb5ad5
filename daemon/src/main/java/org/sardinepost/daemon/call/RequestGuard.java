package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;

/**
 * Decides whether and where a call is sent.
 *
 * <p>Implementations don't block: they run on the thread that read the request. The returned future is cancelled when the
 * caller goes away; an implementation whose dispatch must go on returns a dependent future instead of the dispatch's own.
 */
@FunctionalInterface
public interface RequestGuard {
    CompletableFuture<HeldAnswer> handle(Call call, CallDispatch dispatch);

    /** Sends every call to an upstream. */
    static RequestGuard passThrough() {
        return (call, dispatch) -> dispatch.toUpstream();
    }
}
