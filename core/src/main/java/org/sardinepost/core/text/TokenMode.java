package org.sardinepost.core.text;

/** Whether non-idempotent requests of a service need an idempotency token. */
public enum TokenMode {
    REQUIRED,
    /** A request without a token is its own request: dispatched at most once, never retried once written. */
    OPTIONAL
}
