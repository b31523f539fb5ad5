package org.sardinepost.daemon.call;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.daemon.log.LogEvent;

/** Finds the refusal in the failure of a future. */
final class Refusals {
    private Refusals() {}

    /** Any failure that is no refusal is a fault of the daemon; what became of the request is then unknown. */
    static RefusedException of(Throwable failure) {
        Throwable cause = unwrapped(failure);
        if (cause instanceof RefusedException refused) {
            return refused;
        }
        if (cause instanceof CancellationException) {
            return new RefusedException(RefusalReason.UPSTREAM_FAILED, "the call was given up");
        }
        LogEvent.CALL_FAULT.error(cause, String.valueOf(cause));
        return new RefusedException(RefusalReason.UPSTREAM_FAILED, Outcome.UNKNOWN, "fault in the daemon: " + cause);
    }

    /**
     * The refusal of a request that no guard has seen.
     *
     * <p>A request with a token may be the repeat of one that has run, which only the holder of the token can exclude.
     */
    static RefusedException beforeGuard(HttpFields headers, RefusedException refused) {
        boolean mayBeRepeat = refused.outcome() == Outcome.NOT_RUN && headers.contains(CallHeaders.TOKEN);
        return mayBeRepeat ? refused.withOutcome(Outcome.UNKNOWN) : refused;
    }

    static Throwable unwrapped(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
