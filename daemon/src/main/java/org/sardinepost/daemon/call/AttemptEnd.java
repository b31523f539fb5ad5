package org.sardinepost.daemon.call;

import java.time.Duration;
import java.util.Optional;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.call.RetryReason;
import org.sardinepost.core.routing.DispatchResult;

/** How one send of a request ended: with a whole answer or with a failure. */
final class AttemptEnd {
    /** Upstreams that refuse calls although they have room are as likely to take the next one at once as later. */
    private static final Duration REFUSED_RETRY_AFTER = Duration.ofMillis(20);

    private final Optional<HeldAnswer> answer;
    private final Optional<SendException> failure;

    private AttemptEnd(Optional<HeldAnswer> answer, Optional<SendException> failure) {
        this.answer = answer;
        this.failure = failure;
    }

    static AttemptEnd answered(HeldAnswer answer) {
        return new AttemptEnd(Optional.of(answer), Optional.empty());
    }

    static AttemptEnd failed(SendException failure) {
        return new AttemptEnd(Optional.empty(), Optional.of(failure));
    }

    /** Whether this send certainly did not run the request. */
    boolean notRun() {
        return answer.map(AnswerSigns::refusedBeforeStart)
                .orElseGet(() -> failure.orElseThrow().kind() == SendException.Kind.NOT_WRITTEN);
    }

    /** Why the request may be sent again; empty if it may not. */
    Optional<RetryReason> retryReason(boolean idempotent) {
        return notRun() || idempotent ? retryReason() : Optional.empty();
    }

    private Optional<RetryReason> retryReason() {
        return answer.isPresent()
                ? retryReason(answer.get())
                : retryReason(failure.orElseThrow().kind());
    }

    private static Optional<RetryReason> retryReason(HeldAnswer answer) {
        if (AnswerSigns.refusedBeforeStart(answer)) {
            return Optional.of(RetryReason.REFUSED_BY_UPSTREAM);
        }
        if (AnswerSigns.unavailable(answer) && !AnswerSigns.failedDeeperDown(answer)) {
            return Optional.of(RetryReason.SERVER_ERROR);
        }
        return Optional.empty();
    }

    private static Optional<RetryReason> retryReason(SendException.Kind kind) {
        return switch (kind) {
            case NOT_WRITTEN -> Optional.of(RetryReason.CONNECT_FAILED);
            case CONNECTION_LOST -> Optional.of(RetryReason.CONNECTION_LOST);
            case ANSWER_INCOMPLETE, ANSWER_MISMATCHED -> Optional.of(RetryReason.ANSWER_INCOMPLETE);
            case ANSWER_TOO_LARGE, ANSWER_NOT_HELD -> Optional.empty();
        };
    }

    /** What the dispatcher learns about the upstream. */
    DispatchResult result() {
        if (answer.isPresent()) {
            return AnswerSigns.result(answer.get());
        }
        return DispatchResult.of(
                switch (failure.orElseThrow().kind()) {
                    case NOT_WRITTEN -> DispatchResult.Kind.CONNECT_FAILED;
                    case CONNECTION_LOST, ANSWER_INCOMPLETE, ANSWER_MISMATCHED -> DispatchResult.Kind.FAILED;
                    case ANSWER_TOO_LARGE, ANSWER_NOT_HELD -> DispatchResult.Kind.ANSWERED;
                });
    }

    /** The answer for the caller, if this end has one. A refusal of the upstream becomes the daemon's own. */
    Optional<HeldAnswer> answerForCaller() {
        return answer.filter(held -> !AnswerSigns.refusedBeforeStart(held));
    }

    /**
     * The refusal for the caller.
     *
     * @param mayHaveRun whether this or an earlier send may have run the request
     */
    RefusedException refusal(boolean mayHaveRun) {
        RefusalReason reason = failure.map(failed -> failed.kind().reason()).orElse(RefusalReason.UPSTREAM_REFUSED);
        String detail = failure.map(Throwable::getMessage).orElse("every tried upstream refused the request");
        if (mayHaveRun && reason.outcome() == Outcome.NOT_RUN) {
            return new RefusedException(RefusalReason.UPSTREAM_FAILED, detail + " after an earlier send failed");
        }
        RefusedException refusal = new RefusedException(reason, detail);
        return reason == RefusalReason.UPSTREAM_REFUSED ? refusal.withRetryAfter(REFUSED_RETRY_AFTER) : refusal;
    }
}
