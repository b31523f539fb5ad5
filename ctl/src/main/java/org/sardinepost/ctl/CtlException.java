package org.sardinepost.ctl;

/** Ends a command with a message for the operator and an exit code. */
final class CtlException extends RuntimeException {
    static final int TEXT_OR_DAEMON = 1;
    static final int USAGE = 2;

    private static final long serialVersionUID = 1L;

    private final int exitCode;

    CtlException(int exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    int exitCode() {
        return exitCode;
    }
}
