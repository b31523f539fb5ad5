package org.sardinepost.peer;

import java.util.Locale;

/** The reasons for which a peer connection or a message on it fails. Each has its own counter. */
public enum PeerFault {
    VERSION_MISMATCH,
    /** The first message on a connection is not Hello. */
    HELLO_MISSING,
    MALFORMED_FRAME,
    FRAME_TOO_LONG,
    /** No data was received within the heartbeat timeout. */
    HEARTBEAT_TIMEOUT,
    /** The remote daemon has the incarnation of this one, so the daemon has connected to itself. */
    OWN_INCARNATION,
    NOT_CONNECTED,
    QUEUE_FULL,
    CONNECTION_FAILED;

    /** Returns the label value in metrics and documentation, in lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
