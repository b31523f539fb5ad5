package org.sardinepost.daemon.call;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.daemon.log.LogEvent;

/** Converts the failure of a future to a refusal. */
final class Refusals {
    private Refusals() {}

    /**
     * Converts a failure to a refusal. Any other failure than a refusal or a cancellation is a fault in the daemon,
     * with an unknown outcome.
     */
    static RefusedException of(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof RefusedException refusal) {
            return refusal;
        }
        if (cause instanceof CancellationException) {
            return new RefusedException(RefusalReason.UPSTREAM_FAILED, "the call was cancelled");
        }
        LogEvent.CALL_ERROR.error(cause, String.valueOf(cause));
        return new RefusedException(RefusalReason.UPSTREAM_FAILED, Outcome.UNKNOWN, "fault in the daemon: " + cause);
    }

    /**
     * Returns the refusal of a request that has not been passed to the guard in its turn.
     *
     * <p>A request whose earlier dispatch was recalled may have run. Its status must not promise the contrary.
     *
     * <p>A request with a token may be the retry of a request that was executed. Only the daemon that holds the token can
     * rule this out, so the outcome is unknown.
     */
    static RefusedException beforeGuard(PipelineTurn turn, HttpFields headers, RefusedException refusal) {
        if (turn.mayHaveRun()) {
            return afterRecall(refusal);
        }
        boolean mayBeRetry = refusal.outcome() == Outcome.NOT_RUN && headers.contains(CallHeaders.TOKEN);
        return mayBeRetry ? refusal.withOutcome(Outcome.UNKNOWN) : refusal;
    }

    /** Returns the refusal of a request that may have run before, whatever became of its last dispatch. */
    static RefusedException afterRecall(RefusedException refusal) {
        return refusal.outcome() == Outcome.NOT_RUN
                ? new RefusedException(
                        RefusalReason.UPSTREAM_FAILED,
                        Outcome.UNKNOWN,
                        "an earlier dispatch was cancelled, and then: " + refusal.detail())
                : refusal;
    }

    static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
