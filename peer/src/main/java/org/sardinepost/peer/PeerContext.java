package org.sardinepost.peer;

import java.util.function.Supplier;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** What all connections of one daemon share. */
record PeerContext(Supplier<Hello> ownHello, PeerListener listener, PeerCounters counters, PeerTimings timings) {
    PeerMessage helloMessage() {
        return PeerMessage.newBuilder().setHello(ownHello.get()).build();
    }

    /** Counts and reports the fault. */
    void report(PeerException fault) {
        counters.failed(fault.fault());
        listener.fault(fault);
    }

    /** Checks the first message of a connection. */
    Hello checkHello(PeerMessage first) {
        if (!first.hasHello()) {
            throw new PeerException(
                    PeerFault.HELLO_MISSING,
                    "the first message is " + MessageKind.of(first).label()
                            + " instead of hello; check that only sardinepostd connects to the peer address");
        }
        Hello hello = first.getHello();
        int ownVersion = ownHello.get().getProtocolVersion();
        if (hello.getProtocolVersion() != ownVersion) {
            throw new PeerException(
                    PeerFault.VERSION_MISMATCH,
                    "peer " + hello.getPeerAddress() + " has peer protocol version " + hello.getProtocolVersion()
                            + ", this daemon has " + ownVersion + "; install the same release on both");
        }
        if (hello.getIncarnation() == ownHello.get().getIncarnation()) {
            throw new PeerException(
                    PeerFault.OWN_INCARNATION,
                    "peer address " + hello.getPeerAddress()
                            + " is this daemon itself; remove it from addresses in [peers]");
        }
        return hello;
    }
}
