package org.sardinepost.core.call;

import java.util.Objects;

/** A call that ends with the daemon's own answer instead of an upstream's. */
public final class RefusedException extends RuntimeException {
    private final RefusalReason reason;
    private final Outcome outcome;

    /** A refusal whose outcome is the one of its reason. */
    public RefusedException(RefusalReason reason, String detail) {
        this(reason, reason.outcome(), detail);
    }

    /** A refusal with the outcome that is known of this call. */
    public RefusedException(RefusalReason reason, Outcome outcome, String detail) {
        // Refusals are frequent under overload and their stack traces say nothing, so none is recorded.
        super(detail + "; " + reason.remedy(), null, false, false);
        this.reason = Objects.requireNonNull(reason);
        this.outcome = Objects.requireNonNull(outcome);
    }

    private RefusedException(RefusedException original, Outcome outcome) {
        super(original.getMessage(), null, false, false);
        this.reason = original.reason;
        this.outcome = outcome;
    }

    /** The same refusal with another outcome. */
    public RefusedException withOutcome(Outcome other) {
        return new RefusedException(this, other);
    }

    public RefusalReason reason() {
        return reason;
    }

    public Outcome outcome() {
        return outcome;
    }
}
