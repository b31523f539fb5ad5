package org.sardinepost.daemon.control;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sardinepost.core.membership.Evidence;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.ConfigurationRequest;
import org.sardinepost.peer.generated.PeerMessage;

/** After a pause, asks the peers and the VM list for the current state and opens the gate when they answered. */
final class Revalidation {
    private final PauseGate gate;
    private final PeerTable peers;
    private final LongSupplier randomLong;
    private final Consumer<Runnable> readVmList;
    private long echo;

    /**
     * Creates the revalidation.
     *
     * @param readVmList reads and applies the VM list and then runs what it is given
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
        // Odd, so that it differs from the 0 of offers that answer nothing.
        echo = randomLong.getAsLong() | 1;
        peers.connected().forEach(this::ask);
        readVmList.accept(() -> gate.learned(Evidence.VM_LIST));
    }

    /** A peer connected; one that was lost during the pause is asked now. */
    void connected(Peer peer) {
        if (echo != 0) {
            ask(peer);
        }
    }

    void answered(long answeredEcho) {
        if (echo != 0 && answeredEcho == echo) {
            echo = 0;
            gate.learned(Evidence.PEER);
        }
    }

    private void ask(Peer peer) {
        var unused = peers.send(
                peer,
                PeerMessage.newBuilder()
                        .setConfigurationRequest(
                                ConfigurationRequest.newBuilder().setEcho(echo))
                        .build());
    }
}
