package org.sardinepost.daemon.token;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.token.DispatchPermit;
import org.sardinepost.core.token.TokenOutcome;
import org.sardinepost.daemon.call.BufferedResponse;
import org.sardinepost.daemon.call.CallDispatch;

/** Dispatches a request under a permit and records the outcome in the token table. */
final class TokenDispatch {
    private TokenDispatch() {}

    /** Returns an independent future, so that the dispatch continues when the caller disconnects. */
    static CompletableFuture<TokenOutcome> run(DispatchPermit permit, CallDispatch dispatch) {
        try {
            var unused = dispatch.sendToUpstream()
                    .whenComplete((response, failure) -> recordResult(permit, response, failure));
        } catch (RuntimeException e) {
            permit.unknown(refusal(e));
            throw e;
        }
        return permit.outcome();
    }

    private static void recordResult(DispatchPermit permit, BufferedResponse response, Throwable failure) {
        if (failure == null) {
            permit.answered(StoredResponses.toStored(response));
            return;
        }
        RefusedException refusal = refusal(failure);
        if (refusal.outcome() == Outcome.NOT_RUN) {
            permit.notRun(refusal);
        } else {
            permit.unknown(refusal);
        }
    }

    /**
     * Converts a failure to a refusal. Any other failure than a refusal leaves open whether the request was executed,
     * so the outcome is unknown.
     */
    private static RefusedException refusal(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof RefusedException refused
                ? refused
                : new RefusedException(RefusalReason.UPSTREAM_FAILED, Outcome.UNKNOWN, "the dispatch failed: " + cause);
    }
}
