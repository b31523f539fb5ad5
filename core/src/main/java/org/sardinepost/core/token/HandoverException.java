package org.sardinepost.core.token;

/** A token table could not be handed over or adopted; nothing has changed. The message names the remedy. */
public final class HandoverException extends RuntimeException {
    public HandoverException(String message) {
        super(message);
    }

    public HandoverException(String message, Throwable cause) {
        super(message, cause);
    }
}
