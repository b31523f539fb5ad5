package org.sardinepost.daemon.control;

/** A token table that no peer acknowledged. */
public final class HandoverFailedException extends RuntimeException {
    public HandoverFailedException(String message) {
        super(message);
    }
}
