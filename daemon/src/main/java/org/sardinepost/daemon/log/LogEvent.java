package org.sardinepost.daemon.log;

import org.tinylog.Logger;

/** The log events of the daemon. Each has an entry in docs/events.md, and event numbers are never reused. */
public enum LogEvent {
    STARTED(1, "serving callers on {}, admin on {}"),
    STOP_REQUESTED(2, "planned stop: readiness off, serving for {} ms more"),
    STOP_AWAITING_CALLS(3, "no new calls; waiting for {} calls in progress"),
    STOPPED(4, "stopped after the last call"),
    CALL_ERROR(5, "fault while handling a call: {}"),
    SERVICES_TEXT_APPLIED(6, "services text version {} with {} services is in force"),
    START_FAILED(7, "start failed: {}"),
    STOP_FAILED(8, "planned stop failed: {}"),
    SETTINGS_UNCHANGED(9, "SIGHUP: the settings in {} have not changed"),
    SETTINGS_CHANGED(10, "SIGHUP: the settings in {} have changed; restart the daemon to put them in force"),
    SETTINGS_INVALID(11, "SIGHUP: the settings in {} are faulty, those of the start stay in force: {}"),
    SIGHUP_HANDLER_NOT_INSTALLED(12, "SIGHUP will end this process: {}"),
    ACCEPTING_BEFORE_READY(13, "services and upstreams are not known after {} ms; calls wait for them from now on"),
    LOG_LINES_DROPPED(14, "{} lines of this log were left out, since standard output did not take them in time"),
    CONFIGURATION_ACCEPTED(200, "services text version {} (platform revision {}) is in force, learned from {}"),
    CONFIGURATION_REFUSED(201, "services text of revision {} is refused, version {} stays in force: {}"),
    CONFIGURATION_CONFLICT(202, "{}"),
    CONFIGURATION_SOURCE_DOWN(203, "the services text cannot be read from {}: {}; the version in force stays"),
    CONFIGURATION_SOURCE_RECOVERED(204, "the services text can be read from {} again"),
    VM_LIST_SOURCE_DOWN(205, "the VM list cannot be read from {}: {}; the last list stays in use"),
    VM_LIST_SOURCE_RECOVERED(206, "the VM list can be read from {} again"),
    VM_LIST_REFUSED(207, "the VM list of revision {} is refused, the last one stays in use: {}"),
    UPSTREAM_LEAVING(208, "upstream {} is leaving, known by {}"),
    UPSTREAM_RETURNED(209, "upstream {} gets new calls again"),
    READY(210, "ready with services text version {} after asking the peers"),
    READY_UNPROVEN(
            211,
            "ready with services text version {}, but no peer confirmed it in time; compare the versions of all daemons"),
    PEER_CONNECTED(212, "connected to peer {} with incarnation {}"),
    PEER_LOST(213, "the connection to peer {} ended"),
    PEER_CONNECTION_ERROR(214, "peer connection fault {}: {}"),
    PROCESS_PAUSED(215, "the process was paused; new calls wait until its state is read again"),
    HANDOVER_SENT(216, "token table of incarnation {} handed over to peer {}"),
    HANDOVER_RECEIVED(217, "token table of incarnation {} taken over from peer {}"),
    HANDOVER_FAILED(218, "token table of incarnation {} not handed over: {}"),
    CONTROL_THREAD_ERROR(219, "fault on the control thread: {}"),
    STORE_ITEM_UNREADABLE(220, "item {} of the store cannot be read and is left out: {}"),
    CALL_ENDED(300, "{}");

    /** The length of {@link #code}. */
    static final int CODE_LENGTH = 6;

    private static final String CODE_PREFIX = "SP-";

    private final int number;
    private final String message;

    LogEvent(int number, String message) {
        this.number = number;
        this.message = message;
    }

    /** Returns the event code used in logs and documentation, for example {@code SP-001}. */
    public String code() {
        return String.format("SP-%03d", number);
    }

    /** Returns whether the text starts with an event code. */
    static boolean startsWithCode(String text) {
        return text.startsWith(CODE_PREFIX) && text.length() > CODE_LENGTH && text.charAt(CODE_LENGTH) == ' ';
    }

    /** Returns the message template with {@code {}} as placeholder for each argument. */
    public String message() {
        return message;
    }

    public void info(Object... arguments) {
        Logger.info(messageWithCode(), arguments);
    }

    public void warn(Object... arguments) {
        Logger.warn(messageWithCode(), arguments);
    }

    public void error(Throwable cause, Object... arguments) {
        Logger.error(cause, messageWithCode(), arguments);
    }

    private String messageWithCode() {
        return code() + " " + message;
    }
}
