package org.sardinepost.daemon.log;

import org.tinylog.Logger;

/** The log events of the daemon. Numbers are never reused; docs/events.md has one entry for each. */
public enum LogEvent {
    STARTED(1, "serving callers on {}, admin on {}"),
    STOP_REQUESTED(2, "planned stop: readiness off, serving for {} ms more"),
    STOP_WAITING(3, "no new calls; waiting for {} calls in progress"),
    STOPPED(4, "stopped after the last call"),
    CALL_FAULT(5, "fault while handling a call: {}"),
    TEXT_APPLIED(6, "services text version {} with {} services is in force"),
    START_FAILED(7, "start failed: {}");

    private final int number;
    private final String message;

    LogEvent(int number, String message) {
        this.number = number;
        this.message = message;
    }

    /** The number in logs and docs, for example {@code SP-001}. */
    public String code() {
        return String.format("SP-%03d", number);
    }

    /** The message with a pair of braces for each argument. */
    public String message() {
        return message;
    }

    public void info(Object... arguments) {
        Logger.info(line(), arguments);
    }

    public void warn(Object... arguments) {
        Logger.warn(line(), arguments);
    }

    public void error(Throwable cause, Object... arguments) {
        Logger.error(cause, line(), arguments);
    }

    private String line() {
        return code() + " " + message;
    }
}
