package org.sardinepost.core.token;

/**
 * Thrown if a token table cannot be handed over or adopted. The table is unchanged, and the message states a remedy.
 */
public final class HandoverException extends RuntimeException {
    public HandoverException(String message) {
        super(message);
    }

    public HandoverException(String message, Throwable cause) {
        super(message, cause);
    }
}
