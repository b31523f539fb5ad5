package org.sardinepost.core.clients;

import java.util.Locale;

/** Why a daemon closed the connection of a client. */
public enum CloseReason {
    /** Its client made no progress while memory was short. */
    CLIENT_STALLED,
    /** There were more connections than the limit. */
    CONNECTION_LIMIT,
    /** The process had too few free descriptors to accept it. */
    DESCRIPTOR_RESERVE;

    /** Returns the name in metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
