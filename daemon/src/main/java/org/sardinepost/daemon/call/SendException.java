package org.sardinepost.daemon.call;

import org.sardinepost.core.call.RefusalReason;

/** Thrown if a request to an upstream or another daemon failed to produce a complete response. */
public final class SendException extends RuntimeException {
    /** The stage at which the request failed. */
    public enum Kind {
        /** No connection could be established, so nothing was sent. */
        NOT_WRITTEN(RefusalReason.UPSTREAM_UNREACHABLE),
        /** The connection was lost before the response began. */
        CONNECTION_LOST(RefusalReason.UPSTREAM_FAILED),
        /** The response began but is incomplete. */
        ANSWER_INCOMPLETE(RefusalReason.ANSWER_INCOMPLETE),
        /** The response belongs to another request or was not sent by the upstream. */
        ANSWER_MISMATCHED(RefusalReason.UPSTREAM_FAILED),
        /** The response exceeds the limit of the service. */
        ANSWER_TOO_LARGE(RefusalReason.ANSWER_TOO_LARGE),
        /** The response does not fit into the limit of held bytes. */
        ANSWER_NOT_HELD(RefusalReason.ANSWER_NOT_HELD);

        private final RefusalReason reason;

        Kind(RefusalReason reason) {
            this.reason = reason;
        }

        /** Returns the reason that is reported to the caller if the request is not retried. */
        public RefusalReason reason() {
            return reason;
        }
    }

    private final Kind kind;

    public SendException(Kind kind, String message, Throwable cause) {
        // Failures are frequent while an upstream is down and their stack traces are not informative, so none is
        // recorded.
        super(message, cause, false, false);
        this.kind = kind;
    }

    public Kind kind() {
        return kind;
    }
}
