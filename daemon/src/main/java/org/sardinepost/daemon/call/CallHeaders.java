package org.sardinepost.daemon.call;

/** The names of the public HTTP headers, which docs/callers.md describes. */
public final class CallHeaders {
    public static final String CONTEXT = "Sardinepost-Context";
    public static final String DEADLINE_MS = "Sardinepost-Deadline-Ms";
    public static final String TOKEN = "Idempotency-Token";
    public static final String TOKEN_REQUEST = "Idempotency-Token-Request";
    public static final String OUTCOME = "Sardinepost-Outcome";
    public static final String REASON = "Sardinepost-Reason";
    public static final String INSTANCE = "Sardinepost-Instance";
    public static final String LOAD = "Sardinepost-Load";
    public static final String DRAINING = "Sardinepost-Draining";
    public static final String NOT_RUN = "Sardinepost-Not-Run";
    public static final String WARMING_UP_MS = "Sardinepost-Warming-Up-Ms";
    public static final String FORWARDED = "Sardinepost-Forwarded";

    private CallHeaders() {}
}
