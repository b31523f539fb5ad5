package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Sends one admitted call to its destination.
 *
 * <p>The futures complete by the deadline of the call. They fail with {@link
 * org.sardinepost.core.call.RefusedException}, whose outcome covers every attempt: it is {@code NOT_RUN} only if no
 * attempt can have executed the request. Cancelling a future aborts the HTTP exchange in progress.
 */
public interface CallDispatch {
    /**
     * Sends the request to an upstream of the service. Idempotent requests, and requests that are known not to have been
     * executed, may be retried within the retry budget; all others are sent once. Must be called at most once per call.
     */
    CompletableFuture<BufferedResponse> sendToUpstream();

    /**
     * Sends the request once to another daemon, with {@code Sardinepost-Forwarded}. The response keeps the outcome and
     * reason headers of that daemon.
     */
    CompletableFuture<BufferedResponse> forwardToDaemon(UpstreamId callerAddress);
}
