package org.sardinepost.daemon.control;

import java.util.Optional;
import java.util.function.Supplier;
import org.sardinepost.daemon.placement.Placement;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** The components of the control plane that handle peer messages. */
record ControlComponents(
        ControlThread control,
        PeerTable peers,
        PeerDiscovery discovery,
        HeldIncarnations heldIncarnations,
        Supplier<Hello> localHello,
        ConfigurationExchange exchange,
        MembershipController membership,
        LoadReceiver loadReceiver,
        HandoverSender handoverSender,
        HandoverReceiver handoverReceiver,
        StartupController startup,
        Revalidation revalidation,
        Placement placement,
        Optional<SharedSourceReader> sourceReader) {
    /** Sends a new Hello to all connected peers, which contains the incarnations that this daemon now holds. */
    void broadcastHello() {
        peers.sendToConnected(
                PeerMessage.newBuilder().setHello(localHello.get()).build());
    }
}
