package org.sardinepost.daemon.call;

/** A request that was sent to an upstream and brought no whole answer. */
public final class SendException extends RuntimeException {
    /** What is known of the request. */
    public enum Kind {
        /** No connection could be opened; nothing was written. */
        NOT_WRITTEN,
        /** The connection broke before the answer began. */
        CONNECTION_LOST,
        /** The answer began and did not reach its end. */
        ANSWER_INCOMPLETE,
        /** The answer is larger than the limit of the service. */
        ANSWER_TOO_LARGE
    }

    private final Kind kind;

    public SendException(Kind kind, String message, Throwable cause) {
        super(message, cause, false, false);
        this.kind = kind;
    }

    public Kind kind() {
        return kind;
    }
}
