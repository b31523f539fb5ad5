package org.sardinepost.daemon.call;

import org.sardinepost.core.call.Outcome;

/**
 * Whether a request may have run.
 *
 * <p>Deadline and send run on different threads. Once a caller is told that the request was not run, no send may begin, so
 * both decisions are made under one lock.
 */
final class RunState {
    private boolean mayHaveRun;
    private boolean sending;
    private boolean sealed;

    /** Claims the right to send; false after {@link #seal}. */
    synchronized boolean beginSend() {
        if (sealed) {
            return false;
        }
        sending = true;
        return true;
    }

    /** Ends a send; {@code notRun} if it certainly did not run the request. */
    synchronized void endSend(boolean notRun) {
        sending = false;
        mayHaveRun |= !notRun;
    }

    synchronized boolean mayHaveRun() {
        return mayHaveRun || sending;
    }

    /** Allows no further send and tells what is known at this moment. */
    synchronized Outcome seal() {
        sealed = true;
        return mayHaveRun() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }
}
