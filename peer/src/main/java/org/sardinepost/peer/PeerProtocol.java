package org.sardinepost.peer;

/** Constants of the peer protocol. */
public final class PeerProtocol {
    /** The major version; daemons with different ones exchange nothing. */
    public static final int VERSION = 1;

    /** Fits a services text of 1 MB in one message. */
    public static final int MAX_FRAME_BYTES = 2 << 20;

    private PeerProtocol() {}
}
