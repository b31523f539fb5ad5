package org.sardinepost.daemon.control;

/** Describes failures for log messages. */
final class Failures {
    private Failures() {}

    /** Returns the type and the message of a failure; many failures of connections have no message. */
    static String describe(Throwable failure) {
        String type = failure.getClass().getSimpleName();
        return failure.getMessage() == null ? type : type + ": " + failure.getMessage();
    }
}
