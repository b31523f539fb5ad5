package org.sardinepost.daemon.control;

/** A token table was not taken over: no peer acknowledged it, or this daemon refused it. */
public final class HandoverFailedException extends RuntimeException {
    public HandoverFailedException(String message) {
        super(message);
    }
}
