package org.sardinepost.core.text;

/** Whether non-idempotent requests to a service require an idempotency token. */
public enum TokenMode {
    REQUIRED,
    /** A request without a token is unique: it is dispatched at most once and not retried after it was written. */
    OPTIONAL
}
