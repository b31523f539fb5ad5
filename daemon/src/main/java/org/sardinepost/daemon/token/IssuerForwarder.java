package org.sardinepost.daemon.token;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.call.BufferedResponse;
import org.sardinepost.daemon.call.Call;
import org.sardinepost.daemon.call.CallDispatch;
import org.sardinepost.daemon.control.PeerDirectory;

/**
 * Forwards a request to the daemon that is responsible for its token.
 *
 * <p>If the request cannot be forwarded, the outcome is unknown, since an earlier attempt may have executed the request.
 */
final class IssuerForwarder {
    private final PeerDirectory directory;

    IssuerForwarder(PeerDirectory directory) {
        this.directory = directory;
    }

    CompletableFuture<BufferedResponse> forward(long incarnation, Call call, CallDispatch dispatch) {
        if (call.forwardedBy().isPresent()) {
            return issuerGone("this daemon does not hold the token and the request has already been forwarded");
        }
        Optional<UpstreamId> address = directory.callerAddressFor(incarnation).flatMap(UpstreamId::parse);
        if (address.isEmpty()) {
            return issuerGone("no known daemon holds the token");
        }
        return dispatch.forwardToDaemon(address.get())
                .exceptionallyCompose(failure ->
                        issuerGone("the daemon at " + address.get() + " that holds the token did not respond"));
    }

    private static CompletableFuture<BufferedResponse> issuerGone(String detail) {
        return CompletableFuture.failedFuture(
                new RefusedException(RefusalReason.TOKEN_ISSUER_GONE, Outcome.UNKNOWN, detail));
    }
}
