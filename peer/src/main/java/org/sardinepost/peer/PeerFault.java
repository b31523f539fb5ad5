package org.sardinepost.peer;

import java.util.Locale;

/** Why a peer connection or a message on it failed. Each constant has one counter. */
public enum PeerFault {
    VERSION_MISMATCH,
    /** The first message was not Hello. */
    HELLO_MISSING,
    MALFORMED_FRAME,
    FRAME_TOO_LONG,
    /** Nothing arrived for the heartbeat timeout. */
    HEARTBEAT_TIMEOUT,
    /** The other side has this daemon's own incarnation. */
    OWN_INCARNATION,
    NOT_CONNECTED,
    QUEUE_FULL,
    CONNECTION_FAILED;

    /** The name in metrics and docs: lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
