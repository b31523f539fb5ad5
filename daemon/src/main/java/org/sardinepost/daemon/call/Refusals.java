package org.sardinepost.daemon.call;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
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

    static Throwable unwrapped(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
