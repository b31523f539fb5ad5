package org.sardinepost.daemon.control;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sardinepost.core.membership.StateSource;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.ConfigurationRequest;
import org.sardinepost.peer.generated.PeerMessage;

/**
 * After a pause, requests the current state from the peers and the VM list, and reports the first response of each kind
 * to the pause gate.
 */
final class Revalidation {
    private final PauseGate gate;
    private final PeerTable peers;
    private final LongSupplier randomLong;
    private final Consumer<Runnable> readVmList;
    private long echo;

    /**
     * Creates a revalidation, which does nothing until a pause is detected.
     *
     * @param readVmList reads and applies the VM list, and then runs the given callback
     */
    Revalidation(PauseGate gate, PeerTable peers, LongSupplier randomLong, Consumer<Runnable> readVmList) {
        this.gate = gate;
        this.peers = peers;
        this.randomLong = randomLong;
        this.readVmList = readVmList;
    }

    void tick() {
        if (!gate.tick()) {
            return;
        }
        LogEvent.PROCESS_PAUSED.warn();
        // Odd, so that it differs from 0, the echo of offers that respond to no request.
        echo = randomLong.getAsLong() | 1;
        peers.connected().forEach(this::requestState);
        readVmList.accept(() -> gate.stateRefreshed(StateSource.VM_LIST));
    }

    /**
     * Requests the state from a peer that connected while a revalidation is pending, since its connection may have been
     * lost in the pause.
     */
    void peerConnected(Peer peer) {
        if (echo != 0) {
            requestState(peer);
        }
    }

    void handleEcho(long receivedEcho) {
        if (echo != 0 && receivedEcho == echo) {
            echo = 0;
            gate.stateRefreshed(StateSource.PEER);
        }
    }

    private void requestState(Peer peer) {
        var unused = peers.send(
                peer,
                PeerMessage.newBuilder()
                        .setConfigurationRequest(
                                ConfigurationRequest.newBuilder().setEcho(echo))
                        .build());
    }
}
