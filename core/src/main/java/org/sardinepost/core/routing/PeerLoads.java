package org.sardinepost.core.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** The last known calls in progress of each peer. Loads of peers that stop sending updates expire. Not thread-safe. */
final class PeerLoads {
    private static final long EXPIRY_NANOS = 1_000_000_000L;
    private static final double SMOOTHING = 0.1;

    private final Map<Long, PeerLoad> peers = new HashMap<>();
    /** Starts at the maximum, so that loads of unknown age do not count as recent. */
    private double intervalNanos = EXPIRY_NANOS;

    private record PeerLoad(Map<UpstreamId, Integer> inFlight, long receivedNanos) {}

    void update(
            long incarnation, Map<UpstreamId, Integer> inFlight, Map<UpstreamId, UpstreamState> states, long nowNanos) {
        PeerLoad previous = peers.put(incarnation, new PeerLoad(Map.copyOf(inFlight), nowNanos));
        addInFlight(inFlight, states, 1);
        if (previous == null) {
            return;
        }
        addInFlight(previous.inFlight(), states, -1);
        double interval = Math.max(0, Math.min(nowNanos - previous.receivedNanos(), EXPIRY_NANOS));
        intervalNanos += SMOOTHING * (interval - intervalNanos);
    }

    void remove(long incarnation, Map<UpstreamId, UpstreamState> states) {
        PeerLoad peer = peers.remove(incarnation);
        if (peer != null) {
            addInFlight(peer.inFlight(), states, -1);
        }
    }

    /**
     * Removes peers that have sent no update for a second, so that a partitioned daemon does not act on outdated loads.
     */
    void removeExpired(Map<UpstreamId, UpstreamState> states, long nowNanos) {
        Iterator<PeerLoad> iterator = peers.values().iterator();
        while (iterator.hasNext()) {
            PeerLoad peer = iterator.next();
            if (nowNanos - peer.receivedNanos() > EXPIRY_NANOS) {
                iterator.remove();
                addInFlight(peer.inFlight(), states, -1);
            }
        }
    }

    /** Adds the calls of all peers to a state that was created after the peers reported them. */
    void addAllTo(UpstreamState state) {
        peers.values()
                .forEach(peer -> state.load.addPeerInFlight(peer.inFlight().getOrDefault(state.id(), 0)));
    }

    /** Returns the mean age of the known loads; negative if there are no peers. */
    double meanAgeNanos() {
        return peers.isEmpty() ? -1 : intervalNanos / 2;
    }

    private static void addInFlight(
            Map<UpstreamId, Integer> inFlight, Map<UpstreamId, UpstreamState> states, int sign) {
        inFlight.forEach((id, calls) -> {
            UpstreamState state = states.get(id);
            if (state != null) {
                state.load.addPeerInFlight(sign * calls);
            }
        });
    }
}
