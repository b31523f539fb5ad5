package org.sardinepost.core.call;

import java.util.Locale;

/**
 * The reason why a daemon refused a call or could not pass on the response. Each constant has one counter and one entry
 * in docs/operators.md.
 */
public enum RefusalReason {
    MALFORMED_REQUEST(400, Outcome.NOT_RUN, "send a well-formed HTTP request"),
    CALLER_NOT_ALLOWED(403, Outcome.NOT_RUN, "add the called service to depends-on of the calling service"),
    UNKNOWN_SERVICE(404, Outcome.NOT_RUN, "send a Host header that names a service of the services text"),
    NO_CONFIGURATION(503, Outcome.NOT_RUN, "repeat; the daemon has just started and reads the services text"),
    CALL_TOO_DEEP(403, Outcome.NOT_RUN, "shorten the chain of nested calls to at most 10"),
    REQUEST_TOO_LARGE(413, Outcome.NOT_RUN, "send a smaller body or raise request-limit in the settings"),
    TOKEN_REQUIRED(428, Outcome.NOT_RUN, "repeat the request with the Idempotency-Token of this answer"),
    TOKEN_INVALID(400, Outcome.NOT_RUN, "send the token exactly as it was issued"),
    TOKEN_EXPIRED(409, Outcome.UNKNOWN, "check whether the earlier request ran, then use a fresh token"),
    TOKEN_REUSED(409, Outcome.UNKNOWN, "use a fresh token for a different request"),
    TOKEN_ISSUER_GONE(504, Outcome.UNKNOWN, "check whether the earlier request ran, then use a fresh token"),
    TOKEN_TABLE_FULL(503, Outcome.NOT_RUN, "repeat later; tokens expire after 10 minutes"),
    NO_UPSTREAM(503, Outcome.NOT_RUN, "start an upstream of the service"),
    EVACUATED(503, Outcome.NOT_RUN, "withdraw the evacuation of a failure domain or start upstreams in another one"),
    QUEUE_FULL(503, Outcome.NOT_RUN, "repeat later or start more upstreams"),
    DEADLINE_TOO_SHORT(503, Outcome.NOT_RUN, "repeat with more time; the queue ahead cannot meet the deadline"),
    UPSTREAMS_COLD(503, Outcome.NOT_RUN, "repeat later; the upstreams that are left have just started"),
    HELD_BYTES_FULL(503, Outcome.NOT_RUN, "repeat later or raise held-bytes in the settings"),
    DRAINING(503, Outcome.NOT_RUN, "repeat; the platform's balancer picks another daemon"),
    UPSTREAM_REFUSED(503, Outcome.NOT_RUN, "repeat later; every tried upstream refused before starting"),
    UPSTREAM_UNREACHABLE(502, Outcome.NOT_RUN, "repeat; no connection to an upstream could be opened"),
    UPSTREAM_FAILED(502, Outcome.UNKNOWN, "check whether the request ran before repeating it"),
    ANSWER_INCOMPLETE(502, Outcome.UNKNOWN, "check whether the request ran before repeating it"),
    ANSWER_TOO_LARGE(502, Outcome.UNKNOWN, "raise answer-limit of the service in the services text"),
    /** The response arrived while requests and other responses already used up held-bytes. */
    ANSWER_NOT_HELD(502, Outcome.UNKNOWN, "check whether the request ran; raise held-bytes in the settings"),
    DEADLINE_EXCEEDED(504, Outcome.UNKNOWN, "check whether the request ran before repeating it");

    private final int status;
    private final Outcome outcome;
    private final String remedy;

    RefusalReason(int status, Outcome outcome, String remedy) {
        this.status = status;
        this.outcome = outcome;
        this.remedy = remedy;
    }

    /** Returns the HTTP status of the daemon's own response. */
    public int status() {
        return status;
    }

    /** Returns what the caller may conclude about the request. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns what the caller or the operator can do. */
    public String remedy() {
        return remedy;
    }

    /** Returns the name in headers, metrics and docs: lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
