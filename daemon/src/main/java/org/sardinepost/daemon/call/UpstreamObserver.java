package org.sardinepost.daemon.call;

import java.net.ConnectException;
import java.util.Objects;
import java.util.Optional;
import org.sardinepost.core.routing.UpstreamId;

/** Receives signals from responses and failures that an upstream is leaving or unreachable. Must not block. */
public interface UpstreamObserver {
    /**
     * Called if a response states that the upstream is leaving.
     *
     * @param instance the process to which the request was sent; empty if the process was not named
     */
    void leaving(UpstreamId upstream, Optional<String> instance);

    /**
     * Called if no connection to the upstream could be established.
     *
     * @param refused whether the host refused the connection, which means that no process listens on the port
     */
    void connectionFailed(UpstreamId upstream, boolean refused);

    static UpstreamObserver none() {
        return new UpstreamObserver() {
            @Override
            public void leaving(UpstreamId upstream, Optional<String> instance) {
                // This observer ignores all signals.
            }

            @Override
            public void connectionFailed(UpstreamId upstream, boolean refused) {
                // This observer ignores all signals.
            }
        };
    }

    /** Evaluates the response or the failure of one exchange. */
    default void exchangeEnded(
            UpstreamId upstream, Optional<String> instance, BufferedResponse response, Throwable failure) {
        if (response != null && ResponseClassifier.toDispatchResult(response).leaving()) {
            leaving(upstream, instance);
        }
        if (failure instanceof SendException sendFailure && sendFailure.kind() == SendException.Kind.NOT_WRITTEN) {
            connectionFailed(upstream, isConnectionRefused(sendFailure.getCause()));
        }
    }

    private static boolean isConnectionRefused(Throwable cause) {
        // A connect timeout of the operating system is also reported as a ConnectException.
        return cause instanceof ConnectException
                && Objects.toString(cause.getMessage(), "").contains("refused");
    }
}
