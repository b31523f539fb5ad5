package org.sardinepost.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Decides whether this daemon may send calls to the cold upstreams of a service.
 *
 * <p>A cold upstream crashes if several daemons pace calls to it without knowing of each other. At most two daemons
 * therefore qualify at a time, and each uses at most half of the limit ({@link
 * org.sardinepost.core.routing.ColdRate}). The load that it is for: coordinators that are killed or paused, partitions
 * into two halves or between two of three failure domains, and fleets that restart as a whole.
 *
 * <p>{@link #update} is called by one thread; {@link #mayPlace} is thread-safe.
 */
public final class ColdPlacementPolicy {
    /** Daemons that start together need this time to connect to each other and to learn which upstreams are cold. */
    private static final long START_DELAY_NANOS = Duration.ofSeconds(3).toNanos();

    /** Longer than any partition that is followed by a restart; VMs that were replaced count against it meanwhile. */
    private static final long KNOWN_NANOS = Duration.ofMinutes(10).toNanos();

    /** After a pause of the process, its view of the fleet is that from before the pause until the next update. */
    private static final long MAX_VIEW_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    private final long startedNanos;
    private final Map<UpstreamId, Long> lastKnownNanos = new HashMap<>();
    private final Map<String, Rank> ranks = new ConcurrentHashMap<>();
    private volatile Optional<State> state = Optional.empty();

    /** Creates the policy of a daemon that started at this time. */
    public ColdPlacementPolicy(long startedNanos) {
        this.startedNanos = startedNanos;
    }

    /** Updates what this daemon knows about the fleet. */
    public void update(FleetView view, long nowNanos) {
        view.active().forEach(daemon -> lastKnownNanos.put(daemon.address(), nowNanos));
        // An address in the settings at which no daemon runs any more counts for the first minutes only.
        view.known().forEach(daemon -> lastKnownNanos.putIfAbsent(daemon, nowNanos));
        lastKnownNanos.keySet().removeAll(view.departed());
        lastKnownNanos
                .entrySet()
                .removeIf(entry -> !view.known().contains(entry.getKey()) && !isRecent(entry.getValue(), nowNanos));
        long known = lastKnownNanos.values().stream()
                .filter(knownNanos -> isRecent(knownNanos, nowNanos))
                .count();
        boolean majority = 2L * view.active().size() > known;
        state = Optional.of(new State(view.self(), view.active(), majority, nowNanos));
    }

    private static boolean isRecent(long knownNanos, long nowNanos) {
        return nowNanos - knownNanos <= KNOWN_NANOS;
    }

    /** Returns whether this daemon started long enough ago to send calls to cold upstreams. */
    public boolean started(long nowNanos) {
        return nowNanos - startedNanos > START_DELAY_NANOS;
    }

    /** Returns whether this daemon may send calls to the cold upstreams of a service. */
    public boolean mayPlace(String service, long nowNanos) {
        if (!started(nowNanos)) {
            return false;
        }
        return state.filter(current -> current.majority() && nowNanos - current.updatedNanos() <= MAX_VIEW_AGE_NANOS)
                .filter(current -> isFirst(service, current))
                .isPresent();
    }

    /** Returns whether this daemon is connected to more than half of the daemons that it knows. */
    public boolean connectedToMajority() {
        return state.filter(State::majority).isPresent();
    }

    private boolean isFirst(String service, State current) {
        return ranks.compute(
                        service,
                        (name, previous) -> previous != null && previous.active() == current.active()
                                ? previous
                                : new Rank(current.active(), first(name, current)))
                .first();
    }

    private static boolean first(String service, State current) {
        List<RoleCandidate> ordered = RoleOrder.ordered(current.active(), RendezvousHash.keyOf(service));
        return !ordered.isEmpty() && ordered.get(0).address().equals(current.self());
    }

    /**
     * Whether this daemon comes first for one service.
     *
     * @param active the daemons in the comparison, compared by identity
     */
    private record Rank(List<RoleCandidate> active, boolean first) {}

    private record State(UpstreamId self, List<RoleCandidate> active, boolean majority, long updatedNanos) {}
}
