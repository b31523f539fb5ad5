package org.sardinepost.daemon.control;

/** A read from a file or from the configuration service that failed. */
public final class SourceException extends RuntimeException {
    public SourceException(String message) {
        super(message);
    }

    public SourceException(String message, Throwable cause) {
        super(message, cause);
    }
}
