package org.sardinepost.core.call;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/** Thrown when a call ends with a response of the daemon itself instead of an upstream's. */
public final class RefusedException extends RuntimeException {
    private final RefusalReason reason;
    private final String detail;
    private final Outcome outcome;
    private final Optional<Duration> retryAfter;

    /** Creates a refusal with the default outcome of its reason. */
    public RefusedException(RefusalReason reason, String detail) {
        this(reason, reason.outcome(), detail);
    }

    /** Creates a refusal with a known outcome. */
    public RefusedException(RefusalReason reason, Outcome outcome, String detail) {
        // Refusals are frequent under overload and their stack traces are not useful, so none is recorded.
        super(detail + "; " + reason.remedy(), null, false, false);
        this.reason = Objects.requireNonNull(reason);
        this.detail = detail;
        this.outcome = Objects.requireNonNull(outcome);
        this.retryAfter = Optional.empty();
    }

    private RefusedException(RefusedException original, Outcome outcome, Optional<Duration> retryAfter) {
        super(original.getMessage(), null, false, false);
        this.reason = original.reason;
        this.detail = original.detail;
        this.outcome = outcome;
        this.retryAfter = retryAfter;
    }

    /** Returns this refusal with a different outcome. */
    public RefusedException withOutcome(Outcome other) {
        return new RefusedException(this, other, retryAfter);
    }

    /** Returns this refusal with the time after which capacity is expected. */
    public RefusedException withRetryAfter(Duration delay) {
        return new RefusedException(this, outcome, Optional.of(delay));
    }

    /** Returns the delay after which the caller should retry; empty if unknown. */
    public Optional<Duration> retryAfter() {
        return retryAfter;
    }

    public RefusalReason reason() {
        return reason;
    }

    /** Returns what led to the refusal, without the remedy. */
    public String detail() {
        return detail;
    }

    public Outcome outcome() {
        return outcome;
    }
}
