package org.sardinepost.daemon.call;

import java.net.ConnectException;
import java.util.Objects;
import org.sardinepost.core.routing.UpstreamId;

/** Learns from answers and failures whether an upstream leaves or cannot be reached. Implementations don't block. */
public interface UpstreamObserver {
    /** An answer said that the upstream is leaving. */
    void leaving(UpstreamId upstream);

    /**
     * No connection to the upstream could be opened.
     *
     * @param refused whether its host refused, so that no process listens there
     */
    void connectionFailed(UpstreamId upstream, boolean refused);

    static UpstreamObserver none() {
        return new UpstreamObserver() {
            @Override
            public void leaving(UpstreamId upstream) {
                // Nobody asks.
            }

            @Override
            public void connectionFailed(UpstreamId upstream, boolean refused) {
                // Nobody asks.
            }
        };
    }

    /** Draws the conclusions from the end of one exchange. */
    default void ended(UpstreamId upstream, HeldAnswer answer, Throwable failure) {
        if (answer != null && AnswerSigns.result(answer).leaving()) {
            leaving(upstream);
        }
        if (failure instanceof SendException end && end.kind() == SendException.Kind.NOT_WRITTEN) {
            connectionFailed(upstream, refused(end.getCause()));
        }
    }

    private static boolean refused(Throwable cause) {
        // The operating system's own time limit also ends in a ConnectException.
        return cause instanceof ConnectException
                && Objects.toString(cause.getMessage(), "").contains("refused");
    }
}
