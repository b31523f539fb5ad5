package org.sardinepost.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream for a call from a view of all calls of the service.
 *
 * <p>The cost of an upstream is the expected time until its answer, in usual service times. Not thread-safe.
 */
final class CentralUpstreamSelector {
    /** An emptier upstream is preferred, since its next calls are less likely to meet a full one. */
    private static final double COST_PER_BUSY_SHARE = 0.3;

    /** Many upstreams work more slowly when their last slot is taken. */
    private static final double LAST_SLOT_COST = 1;

    /** Bytes between failure domains are paid for, and the way is a little longer. */
    private static final double REMOTE_COST = 0.3;

    /** Opening a connection takes a millisecond of the upstream's time and is paid for. */
    private static final double CONNECTION_COST = 0.3;

    /** A program that has just started takes about twice the usual time. */
    private static final double COLD_COST = 1;

    /**
     * Above the sum of what speaks against an idle upstream: its failure domain, its connections and its speed. An upstream
     * that was added to a quiet service would otherwise stay unused, and its speed unknown until the next burst.
     */
    private static final double UNTRIED_GAIN = 0.9;

    /** With one more answer in hand, the probability that every asked host is slowed is a few in a hundred. */
    private static final int ASKED_AT_ONCE = 3;

    private final RandomGenerator random;

    CentralUpstreamSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * The cheapest upstream with room whose host is known to have about its usual pace.
     *
     * @param guess whether upstreams that were not asked for their pace are taken to have the usual one
     */
    Optional<UpstreamState> choose(
            Collection<UpstreamState> states, DispatchRequest request, SelectionContext view, boolean guess) {
        UpstreamState best = null;
        double bestCost = Double.MAX_VALUE;
        boolean bestAvoided = true;
        for (UpstreamState state : states) {
            if (!candidate(state, view) || !startsNow(state, view, guess)) {
                continue;
            }
            boolean avoided = request.excluded().contains(state.id());
            double cost = cost(state, request, view);
            if (best == null || (bestAvoided && !avoided) || (bestAvoided == avoided && cost < bestCost)) {
                best = state;
                bestCost = cost;
                bestAvoided = avoided;
            }
        }
        return Optional.ofNullable(best);
    }

    /** The upstreams with room whose pace is worth asking for, the cheapest first. */
    List<UpstreamState> toAsk(Collection<UpstreamState> states, DispatchRequest request, SelectionContext view) {
        List<Ranked> ranked = new ArrayList<>();
        for (UpstreamState state : states) {
            boolean outdated = state.pace.told() && !state.pace.fresh(view.nowNanos());
            if (candidate(state, view) && outdated) {
                ranked.add(new Ranked(state, cost(state, request, view)));
            }
        }
        ranked.sort(Comparator.comparingDouble(Ranked::cost));
        return ranked.stream().limit(ASKED_AT_ONCE).map(Ranked::state).toList();
    }

    /** An ejected upstream that is due for a trial call. */
    Optional<UpstreamState> trial(Collection<UpstreamState> states, DispatchRequest request, long nowNanos) {
        for (UpstreamState state : states) {
            boolean due = state.usable()
                    && state.inFlight == 0
                    && state.health.trialDue(nowNanos)
                    && !request.excluded().contains(state.id());
            if (due) {
                return Optional.of(state);
            }
        }
        return Optional.empty();
    }

    private static boolean candidate(UpstreamState state, SelectionContext view) {
        return state.usable() && !state.health.ejected() && hasRoom(state, view);
    }

    /** Whether a further call would start at once. Fractions are estimates of other placers' calls. */
    private static boolean hasRoom(UpstreamState state, SelectionContext view) {
        if (view.nowNanos() - state.blockedUntilNanos < 0) {
            return false;
        }
        long busy = Math.round(busy(state, view));
        return busy < state.slots - 1
                || (busy < state.slots
                        && (state.slots == 1 || view.lastSlot().worthUsing(state.slots, view.nowNanos())));
    }

    private static boolean startsNow(UpstreamState state, SelectionContext view, boolean guess) {
        if (!view.measured() || !state.pace.told()) {
            return true;
        }
        if (!state.pace.fresh(view.nowNanos())) {
            return state.silent(view.nowNanos()) || (guess && !state.pace.recentlySlow(view.nowNanos()));
        }
        return SlowHostPolicy.startsNow(state.pace.factor(), view.serviceNanos());
    }

    private static double busy(UpstreamState state, SelectionContext view) {
        return state.inFlight + state.load.others(view.service(), view.nowNanos());
    }

    private double cost(UpstreamState state, DispatchRequest request, SelectionContext view) {
        Origin origin = request.origin();
        boolean remote = !origin.failureDomain().isEmpty()
                && !origin.failureDomain().equals(state.upstream().failureDomain());
        boolean connects = !origin.daemon().isEmpty() && !state.connections.available(origin.daemon(), view.nowNanos());
        double cold = COLD_COST * (1 - state.health.startShare(view.nowNanos()));
        boolean untried = !state.tried && cold == 0;
        double busy = busy(state, view);
        boolean lastSlot = Math.round(busy) >= state.slots - 1;
        // Equal upstreams take turns at random, or the first one of the list would get all calls of a quiet service.
        double tie = random.nextDouble() * 1e-3;
        return state.slowness
                + COST_PER_BUSY_SHARE * busy / state.slots
                + (lastSlot ? LAST_SLOT_COST : 0)
                + (remote ? REMOTE_COST : 0)
                + (connects ? CONNECTION_COST : 0)
                - (untried ? UNTRIED_GAIN : 0)
                + cold
                + tie;
    }

    private record Ranked(UpstreamState state, double cost) {}
}
