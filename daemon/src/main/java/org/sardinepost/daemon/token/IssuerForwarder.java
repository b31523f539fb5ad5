package org.sardinepost.daemon.token;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.call.Call;
import org.sardinepost.daemon.call.CallDispatch;
import org.sardinepost.daemon.call.HeldAnswer;
import org.sardinepost.daemon.control.PeerDirectory;

/**
 * Forwards a request to the daemon that answers for its token.
 *
 * <p>Whatever prevents the forward, the outcome is unknown: an earlier send of the request may have run.
 */
final class IssuerForwarder {
    private final PeerDirectory directory;

    IssuerForwarder(PeerDirectory directory) {
        this.directory = directory;
    }

    CompletableFuture<HeldAnswer> forward(long incarnation, Call call, CallDispatch dispatch) {
        if (call.forwardedBy().isPresent()) {
            return gone("this daemon does not hold the token and the request was forwarded already");
        }
        Optional<UpstreamId> address = directory.callerAddressFor(incarnation).flatMap(UpstreamId::parse);
        if (address.isEmpty()) {
            return gone("no known daemon holds the token");
        }
        return dispatch.forwardTo(address.get())
                .exceptionallyCompose(
                        failure -> gone("the holder of the token at " + address.get() + " gave no answer"));
    }

    private static CompletableFuture<HeldAnswer> gone(String detail) {
        return CompletableFuture.failedFuture(
                new RefusedException(RefusalReason.TOKEN_ISSUER_GONE, Outcome.UNKNOWN, detail));
    }
}
