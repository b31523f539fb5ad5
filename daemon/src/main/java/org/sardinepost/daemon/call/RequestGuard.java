package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;

/**
 * Decides whether and where a call is sent.
 *
 * <p>Implementations must not block, since they run on the thread that read the request. The returned future is cancelled
 * when the caller disconnects; an implementation whose dispatch must continue returns a dependent future instead of the
 * future of the dispatch.
 */
@FunctionalInterface
public interface RequestGuard {
    CompletableFuture<BufferedResponse> handle(Call call, CallDispatch dispatch);

    /** Sends every call to an upstream. */
    static RequestGuard passThrough() {
        return (call, dispatch) -> dispatch.sendToUpstream();
    }
}
