package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.routing.UpstreamId;

/**
 * The ways to send one admitted call.
 *
 * <p>The futures complete by the deadline of the call. They fail with {@link
 * org.sardinepost.core.call.RefusedException}, whose outcome covers every send of this dispatch: {@code NOT_RUN} only if
 * no send can have run. Cancelling a future aborts its exchange.
 */
public interface CallDispatch {
    /**
     * Sends the request to an upstream of the service. Idempotent requests, and those known to be not run, may be sent
     * again within the retry budget; every other request is sent once. To be called at most once for each call.
     */
    CompletableFuture<HeldAnswer> toUpstream();

    /**
     * Sends the request once to another daemon, with {@code Sardinepost-Forwarded}. The answer keeps the outcome and
     * reason headers of that daemon.
     */
    CompletableFuture<HeldAnswer> forwardTo(UpstreamId callerAddress);
}
