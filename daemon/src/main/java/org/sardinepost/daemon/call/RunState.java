package org.sardinepost.daemon.call;

import org.sardinepost.core.call.Outcome;

/**
 * Tracks whether a request may have been executed.
 *
 * <p>The deadline and the send run on different threads. After a caller is told that its request was not run, no send may
 * begin, so both decisions are made under one lock.
 */
final class RunState {
    private boolean mayHaveRun;
    private boolean sendInProgress;
    private boolean sendsPrevented;

    /** Begins a send; returns false after {@link #preventSends}, in which case nothing may be sent. */
    synchronized boolean beginSend() {
        if (sendsPrevented) {
            return false;
        }
        sendInProgress = true;
        return true;
    }

    /** Ends a send; {@code notRun} states that the upstream certainly did not execute the request. */
    synchronized void endSend(boolean notRun) {
        sendInProgress = false;
        mayHaveRun |= !notRun;
    }

    synchronized boolean mayHaveRun() {
        return mayHaveRun || sendInProgress;
    }

    /** Prevents further sends and returns the outcome as known at this moment. */
    synchronized Outcome preventSends() {
        sendsPrevented = true;
        return mayHaveRun() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }
}
