package org.sardinepost.daemon.placement;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.membership.RendezvousHash;
import org.sardinepost.core.membership.RoleCandidate;
import org.sardinepost.core.membership.RoleOrder;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Selects the coordinator of a service: the first active daemon in the {@link RoleOrder} of the service.
 *
 * <p>A daemon that did not respond is skipped for an exponentially growing time, since a frozen VM keeps its
 * connections open and stays in the list of active daemons. Two daemons may briefly select different coordinators; the
 * load that upstreams report then keeps both coordinators from filling the same slots. Thread-safe.
 */
final class CoordinatorSelector {
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final PlacementPeers peers;
    private final Map<UpstreamId, Backoff> backoffs = new ConcurrentHashMap<>();
    private final Map<String, Ranking> rankings = new ConcurrentHashMap<>();

    CoordinatorSelector(PlacementPeers peers) {
        this.peers = peers;
    }

    /** Returns the peer address of the coordinator; this daemon's own address if no other daemon is available. */
    UpstreamId coordinator(String service, long nowNanos) {
        for (UpstreamId candidate : ranking(service, peers.activeDaemons()).ordered()) {
            Backoff backoff = backoffs.get(candidate);
            if (backoff == null || backoff.untilNanos() - nowNanos <= 0) {
                return candidate;
            }
        }
        return peers.localAddress();
    }

    /** Ranks the daemons once for each change of the membership, since each call needs the first one. */
    private Ranking ranking(String service, List<RoleCandidate> members) {
        return rankings.compute(
                service,
                (name, previous) -> previous != null && previous.members() == members
                        ? previous
                        : new Ranking(members, ordered(members, RendezvousHash.keyOf(name))));
    }

    private static List<UpstreamId> ordered(List<RoleCandidate> members, long key) {
        return RoleOrder.ordered(members, key).stream()
                .map(RoleCandidate::address)
                .toList();
    }

    /** Records that the coordinator did not respond in time, unless it is already being skipped. */
    void recordTimeout(UpstreamId coordinator, long nowNanos) {
        backoffs.compute(coordinator, (address, previous) -> {
            if (previous != null && previous.untilNanos() - nowNanos > 0) {
                return previous;
            }
            long durationNanos = previous == null
                    ? INITIAL_BACKOFF_NANOS
                    : Math.min(MAX_BACKOFF_NANOS, 2 * previous.durationNanos());
            return new Backoff(nowNanos + durationNanos, durationNanos);
        });
    }

    void recordResponse(UpstreamId coordinator) {
        backoffs.remove(coordinator);
    }

    /**
     * The order of the daemons for one service.
     *
     * @param members the list of active daemons, compared by identity
     */
    private record Ranking(List<RoleCandidate> members, List<UpstreamId> ordered) {}

    private record Backoff(long untilNanos, long durationNanos) {}
}
