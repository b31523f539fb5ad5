package org.sardinepost.peer;

/** Constants of the peer protocol. */
public final class PeerProtocol {
    /** The major protocol version. Daemons with different versions close the connection after the first message. */
    public static final int VERSION = 1;

    /** Large enough for a services text of 1 MB in one message. */
    public static final int MAX_FRAME_BYTES = 2 << 20;

    private PeerProtocol() {}
}
