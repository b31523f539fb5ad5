package org.sardinepost.core.text;

/** The requirement of an idempotency token for non-idempotent requests to a service. */
public enum TokenMode {
    REQUIRED,
    /** A request without a token is unique: it is dispatched at most once and not retried after it was written. */
    OPTIONAL,
    /** The daemon issues and reads no tokens; a header of that name is passed on to the upstream. */
    NONE
}
