package org.sardinepost.daemon.control;

import java.util.Optional;
import java.util.function.Supplier;
import org.sardinepost.daemon.placement.Placement;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.PeerMessage;

/** The parts of the control side that peer messages concern. */
record ControlParts(
        ControlThread control,
        PeerTable peers,
        HeldIncarnations held,
        Supplier<Hello> ownHello,
        ConfigurationExchange exchange,
        MembershipControl membership,
        LoadReceiver loadReceiver,
        HandoverSender handoverSender,
        HandoverReceiver handoverReceiver,
        StartControl start,
        Revalidation revalidation,
        Placement placement,
        Optional<SharedReading> reading) {
    /** Tells the connected peers which incarnations this daemon holds now. */
    void announceSelf() {
        peers.sendToConnected(PeerMessage.newBuilder().setHello(ownHello.get()).build());
    }
}
