package org.sardinepost.daemon.control;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.configuration.StartDecision;
import org.sardinepost.core.configuration.StartGate;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.log.LogEvent;

/** Runs the start gate and completes the readiness of the daemon. */
final class StartControl {
    private final StartGate gate;
    private final PeerTable peers;
    private final Clock clock;
    private final CompletableFuture<StartDecision> ready = new CompletableFuture<>();

    StartControl(PeerTable peers, Clock clock) {
        this.gate = new StartGate(clock.nanos());
        this.peers = peers;
        this.clock = clock;
    }

    void answered(UpstreamId peer, long version) {
        gate.answered(peer, version, clock.nanos());
    }

    void tick(boolean peersKnown, long heldVersion) {
        if (ready.isDone()) {
            return;
        }
        Set<UpstreamId> asked = peers.named();
        StartDecision decision = gate.decide(asked, peersKnown, heldVersion, clock.nanos());
        switch (decision) {
            case WAITING -> {}
            case READY -> {
                LogEvent.READY.info(heldVersion);
                ready.complete(decision);
            }
            case READY_UNPROVEN -> {
                LogEvent.READY_UNPROVEN.warn(heldVersion);
                ready.complete(decision);
            }
        }
    }

    CompletableFuture<StartDecision> ready() {
        return ready.copy();
    }
}
