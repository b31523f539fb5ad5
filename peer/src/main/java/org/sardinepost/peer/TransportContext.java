package org.sardinepost.peer;

import java.util.function.Supplier;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** The dependencies that all peer connections of one daemon share. */
record TransportContext(Supplier<Hello> ownHello, PeerListener listener, PeerCounters counters, PeerTimings timings) {
    PeerMessage helloMessage() {
        return PeerMessage.newBuilder().setHello(ownHello.get()).build();
    }

    /** Counts a fault and reports it to the listener. */
    void report(PeerException fault) {
        counters.recordFault(fault.fault());
        listener.faultOccurred(fault);
    }

    /**
     * Returns the Hello in a message.
     *
     * @throws PeerException if the message is not Hello, has another protocol version, or comes from this daemon itself
     */
    Hello checkHello(PeerMessage message) {
        if (!message.hasHello()) {
            throw new PeerException(
                    PeerFault.HELLO_MISSING,
                    "the first message is " + MessageKind.of(message).label()
                            + " instead of hello; check that only sardinepostd connects to the peer address");
        }
        Hello hello = message.getHello();
        int ownVersion = ownHello.get().getProtocolVersion();
        if (hello.getProtocolVersion() != ownVersion) {
            throw new PeerException(
                    PeerFault.VERSION_MISMATCH,
                    "peer " + hello.getPeerAddress() + " uses peer protocol version " + hello.getProtocolVersion()
                            + ", this daemon has " + ownVersion + "; install the same release on both");
        }
        if (hello.getIncarnation() == ownHello.get().getIncarnation()) {
            throw new PeerException(
                    PeerFault.OWN_INCARNATION,
                    "peer address " + hello.getPeerAddress()
                            + " belongs to this daemon itself; remove it from addresses in [peers]");
        }
        return hello;
    }
}
