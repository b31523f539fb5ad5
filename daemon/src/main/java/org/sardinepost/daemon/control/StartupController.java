package org.sardinepost.daemon.control;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sardinepost.core.configuration.StartDecision;
import org.sardinepost.core.configuration.StartGate;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.log.LogEvent;

/** Evaluates the start gate and completes the readiness future of the daemon. */
final class StartupController {
    private final StartGate gate;
    private final Supplier<Set<UpstreamId>> peersToAsk;
    private final Clock clock;
    private final CompletableFuture<StartDecision> ready = new CompletableFuture<>();

    /** Creates the controller; {@code peersToAsk} supplies the peers that may hold a newer text than the source. */
    StartupController(Supplier<Set<UpstreamId>> peersToAsk, Clock clock) {
        this.gate = new StartGate(clock.nanos());
        this.peersToAsk = peersToAsk;
        this.clock = clock;
    }

    void recordResponse(UpstreamId peer, long version) {
        gate.recordResponse(peer, version, clock.nanos());
    }

    void tick(boolean allPeersKnown, long heldVersion) {
        if (ready.isDone()) {
            return;
        }
        StartDecision decision = gate.decide(peersToAsk.get(), allPeersKnown, heldVersion, clock.nanos());
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
