package org.sardinepost.ctl;

/** Terminates a command with an error message for the operator and an exit code. */
final class CtlException extends RuntimeException {
    static final int EXIT_FAILURE = 1;
    static final int EXIT_USAGE = 2;

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
