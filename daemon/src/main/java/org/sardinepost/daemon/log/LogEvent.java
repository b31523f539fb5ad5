package org.sardinepost.daemon.log;

import org.tinylog.Logger;

/** The log events of the daemon. Each has an entry in docs/events.md, and event numbers are never reused. */
public enum LogEvent {
    STARTED(1, "serving callers on {}, admin on {}"),
    STOP_REQUESTED(2, "graceful shutdown: reporting not ready, serving new calls for another {} ms"),
    STOP_AWAITING_CALLS(3, "refusing new calls; waiting for {} calls in progress"),
    STOPPED(4, "stopped after the last call"),
    CALL_ERROR(5, "unexpected error while handling a call: {}"),
    SERVICES_TEXT_APPLIED(6, "services text version {} with {} services is active"),
    START_FAILED(7, "start failed: {}"),
    STOP_FAILED(8, "graceful shutdown failed: {}"),
    SETTINGS_UNCHANGED(9, "SIGHUP: the settings in {} have not changed"),
    SETTINGS_CHANGED(10, "SIGHUP: the settings in {} have changed; restart the daemon to apply them"),
    SETTINGS_INVALID(11, "SIGHUP: the settings in {} are invalid; the settings read at startup remain active: {}"),
    SIGHUP_HANDLER_NOT_INSTALLED(
            12, "the SIGHUP handler cannot be installed, so SIGHUP will terminate this process: {}"),
    ACCEPTING_BEFORE_READY(
            13, "services and upstreams are still unknown after {} ms; accepting calls, which wait for them"),
    LOG_LINES_DROPPED(14, "{} log lines were dropped because standard output was too slow"),
    OPTIMIZING_COMPILER_OFF(15, "the optimizing compiler is off, since the heap is smaller than {} MB"),
    OPTIMIZING_COMPILER_ON(16, "the optimizing compiler cannot be switched off: {}"),
    CONFIGURATION_ACCEPTED(200, "services text version {} (platform revision {}) is active, received from {}"),
    CONFIGURATION_REFUSED(201, "rejected the services text of revision {}; version {} remains active: {}"),
    CONFIGURATION_CONFLICT(202, "{}"),
    CONFIGURATION_SOURCE_DOWN(203, "cannot read the services text from {}: {}; keeping the active version"),
    CONFIGURATION_SOURCE_RECOVERED(204, "reading the services text from {} succeeds again"),
    VM_LIST_SOURCE_DOWN(205, "cannot read the VM list from {}: {}; keeping the last list"),
    VM_LIST_SOURCE_RECOVERED(206, "reading the VM list from {} succeeds again"),
    VM_LIST_REFUSED(207, "rejected the VM list of revision {}; keeping the last one: {}"),
    UPSTREAM_LEAVING(208, "upstream {} is leaving, detected by {}"),
    UPSTREAM_RETURNED(209, "upstream {} receives new calls again"),
    READY(210, "ready with services text version {} after asking the peers"),
    READY_UNPROVEN(
            211,
            "ready with services text version {}, but no peer confirmed it in time; compare the versions of all daemons"),
    PEER_CONNECTED(212, "connected to peer {} with incarnation {}"),
    PEER_LOST(213, "the connection to peer {} ended"),
    PEER_CONNECTION_ERROR(214, "peer connection error {}: {}"),
    PROCESS_PAUSED(215, "the process was paused; new calls wait until its state is refreshed"),
    HANDOVER_SENT(216, "token table of incarnation {} handed over to peer {}"),
    HANDOVER_RECEIVED(217, "token table of incarnation {} taken over from peer {}"),
    HANDOVER_FAILED(218, "handover of the token table of incarnation {} failed: {}"),
    CONTROL_THREAD_ERROR(219, "unexpected error on the control thread: {}"),
    STORE_ITEM_UNREADABLE(220, "ignoring store item {}, which cannot be read: {}"),
    SOURCE_AWAY(221, "no daemon got a response from {} for {} ms; entries of live upstreams may have expired"),
    SOURCE_AWAY_BY_PEER(
            222, "a peer reports that {} was away until {} ms ago; entries of live upstreams may have expired"),
    SOURCE_HISTORY_LOST(223, "{} has discarded the changes since the last read by this daemon; read all items again"),
    VM_LIST_RECEIVED(224, "VM list of revision {} received, read by {} {} ms ago"),
    UPSTREAM_ABSENT(225, "upstream {} is no longer listed; it is removed {}"),
    UPSTREAM_REMOVED(226, "upstream {} receives no new calls, {} ms after the first list without it"),
    UPSTREAM_LISTED_AGAIN(227, "upstream {} is listed again, {} ms after the first list without it"),
    SOURCE_HISTORY_TOO_LARGE(228, "cannot read the changes from {}: {}"),
    SOURCE_STATE_OVERDUE(
            229,
            "no daemon has confirmed the state of {} for {} ms; revision {} with services text version {} remains active"),
    SOURCE_RETURNED(
            230, "{} has returned from an older copy, detected by {}; position {}, before {}; reading all items again"),
    SOURCE_STATE_CONFIRMED(
            231, "the state of {} is confirmed again after {} ms: revision {} with services text version {}"),
    CALL_ENDED(300, "{}"),
    STALLED_CONNECTIONS_CLOSED(
            700,
            "closed {} connections whose clients made no progress while memory was short: {} bytes of bodies and {} of other parts of calls were held"),
    SURPLUS_CONNECTIONS_CLOSED(701, "closed {} connections, since {} were open and more are not allowed"),
    CONNECTION_LIMIT_LOWERED(
            702,
            "at most {} connections of callers stay open instead of {}: the process may open only {} descriptors; raise that limit"),
    CONNECTIONS_REFUSED_FOR_DESCRIPTORS(
            703, "closed {} new connections, since fewer descriptors are free than descriptor-reserve requires"),
    UPSTREAM_COLD(710, "upstream {} is listed as warming up"),
    UPSTREAM_WARM(711, "upstream {} is no longer listed as warming up"),
    COLD_PLACEMENT_SUSPENDED(
            712, "connected to at most half of the known daemons; this daemon sends no calls to cold upstreams"),
    COLD_LIMIT_TOO_LOW(
            713,
            "cold upstreams of service {} get no calls: warm-up-rate x overshoot + slack is below 2; raise one of them"),
    COLD_PLACEMENT_RESUMED(714, "connected to more than half of the known daemons again"),
    DOMAIN_EVACUATED(720, "failure domain {} is evacuated; in total {} upstreams of the VM list are held back"),
    DOMAIN_RETURNED(
            721, "failure domain {} is returned to service; in total {} upstreams of the VM list are held back"),
    EVACUATION_UNREADABLE(722, "the value of {} cannot be read; failure domain {} is evacuated nevertheless"),
    EVACUATION_IGNORED(723, "ignoring {}, whose key names no failure domain"),
    UPSTREAM_REFUSING(
            730,
            "upstream {} of service {} refuses calls although it reports free slots; it gets only calls that no other can take"),
    UPSTREAM_NOT_REFUSING(731, "upstream {} of service {} is open to all calls again"),
    KIND_BELOW_SHARE(
            740,
            "kind {} (priority {}) of service {} is served less than its guaranteed share; {} kinds of all services are"),
    KIND_RECOVERED(741, "kind {} (priority {}) of service {} gets its guaranteed share again; {} kinds do not"),
    CALLS_DISPLACED(
            742, "refused {} queued calls of service {} because more urgent ones arrived; most were of kind {}");

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
