package org.sardinepost.daemon.control;

/** A source of the services text or of the VM list could not be read. */
public final class SourceException extends RuntimeException {
    public SourceException(String message) {
        super(message);
    }

    public SourceException(String message, Throwable cause) {
        super(message, cause);
    }
}
