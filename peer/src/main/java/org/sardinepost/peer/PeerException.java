package org.sardinepost.peer;

import java.util.Objects;

/** A failure of a peer connection or of a message on it. */
public final class PeerException extends RuntimeException {
    private final PeerFault fault;

    public PeerException(PeerFault fault, String message) {
        super(message);
        this.fault = Objects.requireNonNull(fault);
    }

    public PeerException(PeerFault fault, String message, Throwable cause) {
        super(message, cause);
        this.fault = Objects.requireNonNull(fault);
    }

    public PeerFault fault() {
        return fault;
    }
}
