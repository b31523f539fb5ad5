package org.sardinepost.daemon.call;

import java.time.Duration;
import java.util.Optional;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.call.RetryReason;
import org.sardinepost.core.routing.DispatchResult;

/** The result of one attempt to send a request: a complete response or a failure. */
final class AttemptResult {
    /** An upstream that rejects calls while it has capacity is as likely to accept the next one now as later. */
    private static final Duration REFUSED_RETRY_AFTER = Duration.ofMillis(20);

    private final Optional<BufferedResponse> response;
    private final Optional<SendException> failure;

    private AttemptResult(Optional<BufferedResponse> response, Optional<SendException> failure) {
        this.response = response;
        this.failure = failure;
    }

    static AttemptResult completed(BufferedResponse response) {
        return new AttemptResult(Optional.of(response), Optional.empty());
    }

    static AttemptResult failed(SendException failure) {
        return new AttemptResult(Optional.empty(), Optional.of(failure));
    }

    /** Returns whether it is certain that the upstream did not execute the request in this attempt. */
    boolean notRun() {
        return response.map(ResponseClassifier::rejectedBeforeExecution)
                .orElseGet(() -> failure.orElseThrow().kind() == SendException.Kind.NOT_WRITTEN);
    }

    /** Returns the reason for which the request may be retried; empty if it must not be retried. */
    Optional<RetryReason> retryReason(boolean idempotent) {
        return notRun() || idempotent ? retryReason() : Optional.empty();
    }

    private Optional<RetryReason> retryReason() {
        return response.isPresent()
                ? retryReason(response.get())
                : retryReason(failure.orElseThrow().kind());
    }

    private static Optional<RetryReason> retryReason(BufferedResponse response) {
        if (ResponseClassifier.rejectedBeforeExecution(response)) {
            return Optional.of(RetryReason.REFUSED_BY_UPSTREAM);
        }
        if (ResponseClassifier.isUnavailable(response) && !ResponseClassifier.relaysDaemonResponse(response)) {
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

    /** Returns the result that is reported to the dispatcher. */
    DispatchResult toDispatchResult() {
        if (response.isPresent()) {
            return ResponseClassifier.toDispatchResult(response.get());
        }
        return DispatchResult.of(
                switch (failure.orElseThrow().kind()) {
                    case NOT_WRITTEN -> DispatchResult.Kind.CONNECT_FAILED;
                    case CONNECTION_LOST, ANSWER_INCOMPLETE, ANSWER_MISMATCHED -> DispatchResult.Kind.FAILED;
                    case ANSWER_TOO_LARGE, ANSWER_NOT_HELD -> DispatchResult.Kind.ANSWERED;
                });
    }

    /**
     * Returns the response to pass on to the caller; empty after a failure and if the upstream rejected the request.
     */
    Optional<BufferedResponse> responseForCaller() {
        return response.filter(received -> !ResponseClassifier.rejectedBeforeExecution(received));
    }

    /**
     * Returns the refusal that is reported to the caller if there is no response to pass on.
     *
     * @param mayHaveRun whether the request may have been executed in this or an earlier attempt
     */
    RefusedException refusal(boolean mayHaveRun) {
        RefusalReason reason = failure.map(failed -> failed.kind().reason()).orElse(RefusalReason.UPSTREAM_REFUSED);
        String detail = failure.map(Throwable::getMessage).orElse("every upstream that was tried rejected the request");
        if (mayHaveRun && reason.outcome() == Outcome.NOT_RUN) {
            return new RefusedException(RefusalReason.UPSTREAM_FAILED, detail + " after an earlier attempt failed");
        }
        RefusedException refusal = new RefusedException(reason, detail);
        return reason == RefusalReason.UPSTREAM_REFUSED ? refusal.withRetryAfter(REFUSED_RETRY_AFTER) : refusal;
    }
}
