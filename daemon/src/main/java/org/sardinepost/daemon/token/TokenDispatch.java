package org.sardinepost.daemon.token;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.token.DispatchPermit;
import org.sardinepost.core.token.TokenOutcome;
import org.sardinepost.daemon.call.CallDispatch;
import org.sardinepost.daemon.call.HeldAnswer;

/** Dispatches a request under a permit and records how it ended. */
final class TokenDispatch {
    private TokenDispatch() {}

    /** The outcome is a future of its own: the dispatch goes on when its caller goes away. */
    static CompletableFuture<TokenOutcome> run(DispatchPermit permit, CallDispatch dispatch) {
        try {
            var unused = dispatch.toUpstream().whenComplete((answer, failure) -> end(permit, answer, failure));
        } catch (RuntimeException e) {
            permit.unknown(refusal(e));
            throw e;
        }
        return permit.outcome();
    }

    private static void end(DispatchPermit permit, HeldAnswer answer, Throwable failure) {
        if (failure == null) {
            permit.answered(StoredAnswers.stored(answer));
            return;
        }
        RefusedException refusal = refusal(failure);
        if (refusal.outcome() == Outcome.NOT_RUN) {
            permit.notRun(refusal);
        } else {
            permit.unknown(refusal);
        }
    }

    /** A failure that is no refusal tells nothing about the request, so its outcome is unknown. */
    private static RefusedException refusal(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof RefusedException refused
                ? refused
                : new RefusedException(RefusalReason.UPSTREAM_FAILED, Outcome.UNKNOWN, "the dispatch failed: " + cause);
    }
}
