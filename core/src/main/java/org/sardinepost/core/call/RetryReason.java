package org.sardinepost.core.call;

import java.util.Locale;

/**
 * The reason why a call was sent to another upstream. Each constant has one counter and one entry in docs/operators.md.
 */
public enum RetryReason {
    /** No connection to the upstream could be opened, so nothing was written. */
    CONNECT_FAILED,
    /** The upstream reported that it refused the request before starting it. */
    REFUSED_BY_UPSTREAM,
    /** The connection was lost after the request was written; only idempotent calls are repeated. */
    CONNECTION_LOST,
    /** The response was shorter than declared; only idempotent calls are repeated. */
    ANSWER_INCOMPLETE,
    /** The upstream responded with 502, 503 or 504; only idempotent calls are repeated. */
    SERVER_ERROR;

    /** Returns the name in metrics and docs: lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
