package org.sardinepost.core.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** The last known calls in progress of each peer. Silent peers are forgotten. Not thread-safe. */
final class PeerLoads {
    private static final long SILENCE_NANOS = 1_000_000_000L;
    private static final double SMOOTHING = 0.1;

    private final Map<Long, Peer> peers = new HashMap<>();
    /** Begins at the longest interval: loads of unknown age must not count as fresh. */
    private double intervalNanos = SILENCE_NANOS;

    private record Peer(Map<UpstreamId, Integer> inFlight, long heardNanos) {}

    void put(
            long incarnation, Map<UpstreamId, Integer> inFlight, Map<UpstreamId, UpstreamState> states, long nowNanos) {
        Peer previous = peers.put(incarnation, new Peer(Map.copyOf(inFlight), nowNanos));
        apply(inFlight, states, 1);
        if (previous == null) {
            return;
        }
        apply(previous.inFlight(), states, -1);
        double gap = Math.max(0, Math.min(nowNanos - previous.heardNanos(), SILENCE_NANOS));
        intervalNanos += SMOOTHING * (gap - intervalNanos);
    }

    void remove(long incarnation, Map<UpstreamId, UpstreamState> states) {
        Peer peer = peers.remove(incarnation);
        if (peer != null) {
            apply(peer.inFlight(), states, -1);
        }
    }

    /** Forgets the peers that have been silent for a second: a cut-off daemon must not act on their old loads. */
    void removeSilent(Map<UpstreamId, UpstreamState> states, long nowNanos) {
        Iterator<Peer> iterator = peers.values().iterator();
        while (iterator.hasNext()) {
            Peer peer = iterator.next();
            if (nowNanos - peer.heardNanos() > SILENCE_NANOS) {
                iterator.remove();
                apply(peer.inFlight(), states, -1);
            }
        }
    }

    /** Adds the calls of all peers to a state that was created after they reported. */
    void applyTo(UpstreamState state) {
        peers.values().forEach(peer -> state.load.addPeerCalls(peer.inFlight().getOrDefault(state.id(), 0)));
    }

    /** The mean age of what is known; negative if no peer is heard. */
    double ageNanos() {
        return peers.isEmpty() ? -1 : intervalNanos / 2;
    }

    private static void apply(Map<UpstreamId, Integer> inFlight, Map<UpstreamId, UpstreamState> states, int sign) {
        inFlight.forEach((id, calls) -> {
            UpstreamState state = states.get(id);
            if (state != null) {
                state.load.addPeerCalls(sign * calls);
            }
        });
    }
}
