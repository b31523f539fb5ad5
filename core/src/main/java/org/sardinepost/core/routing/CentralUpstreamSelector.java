package org.sardinepost.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Selects the upstream for a call, given all calls of the service.
 *
 * <p>The cost of an upstream is the expected time until its response, in multiples of the typical service time. Not
 * thread-safe.
 */
final class CentralUpstreamSelector {
    /** Less utilized upstreams are preferred because they are more likely to have capacity for the next calls. */
    private static final double UTILIZATION_COST = 0.3;

    /** Many upstreams slow down when their last slot is in use. */
    private static final double LAST_SLOT_COST = 1;

    /** Traffic between failure domains is billed and has a slightly longer round trip. */
    private static final double REMOTE_COST = 0.3;

    /** Calls to a process that has just started take about twice the typical time. */
    private static final double COLD_START_COST = 1;

    /**
     * Exceeds the total extra cost that an idle upstream can have: its failure domain, its connections and its speed.
     * Otherwise an upstream added to a lightly loaded service would stay unused, and its speed unknown, until the next
     * burst.
     */
    private static final double UNUSED_UPSTREAM_BONUS = 0.9;

    /** Allowing for one missing response, the probability that every probed host is slowed down is a few percent. */
    private static final int PROBES_PER_ROUND = 3;

    private final RandomGenerator random;

    CentralUpstreamSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Selects the cheapest upstream that has a free slot and whose host is known to run at about normal speed.
     *
     * @param assumeNormalSpeed whether upstreams whose current slowdown is unknown are assumed to run at normal
     *     speed
     */
    Optional<UpstreamState> select(
            Collection<UpstreamState> states,
            DispatchRequest request,
            SelectionContext context,
            boolean assumeNormalSpeed) {
        UpstreamState best = null;
        double bestCost = Double.MAX_VALUE;
        boolean bestExcluded = true;
        for (UpstreamState state : states) {
            if (!isCandidate(state, request, context) || !mayStartNow(state, context, assumeNormalSpeed)) {
                continue;
            }
            boolean isExcluded = request.excluded().contains(state.id());
            double cost = cost(state, request, context) + tieBreaker();
            if (best == null || (bestExcluded && !isExcluded) || (bestExcluded == isExcluded && cost < bestCost)) {
                best = state;
                bestCost = cost;
                bestExcluded = isExcluded;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the number of free slots on upstreams that are not known to be slowed down. */
    int freeSlots(Collection<UpstreamState> states, DispatchRequest request, SelectionContext context) {
        int slots = 0;
        for (UpstreamState state : states) {
            if (isCandidate(state, request, context) && !knownSlow(state, context)) {
                int free = (int) Math.max(1, state.slots - 1 - Math.round(estimatedInFlight(state, context)));
                slots += context.cold().limitedToTokens(state.id(), free, context.nowNanos());
            }
        }
        return slots;
    }

    static boolean knownSlow(UpstreamState state, SelectionContext context) {
        return context.probingEnabled() && state.hostSlowdown.reportsSlowdown() && isWorthWaitingFor(state, context);
    }

    /** Returns the upstreams with a free slot whose slowdown is unknown, the cheapest first. */
    List<UpstreamState> probeTargets(
            Collection<UpstreamState> states, DispatchRequest request, SelectionContext context) {
        List<RankedUpstream> ranked = new ArrayList<>();
        for (UpstreamState state : states) {
            if (isCandidate(state, request, context) && slowdownUnknown(state, context)) {
                ranked.add(new RankedUpstream(state, cost(state, request, context) + tieBreaker()));
            }
        }
        ranked.sort(Comparator.comparingDouble(RankedUpstream::cost));
        return ranked.stream()
                .limit(PROBES_PER_ROUND)
                .map(RankedUpstream::state)
                .toList();
    }

    /**
     * Returns the cost of the cheapest upstream with a free slot whose slowdown is unknown and probably over; infinity if
     * there is none.
     */
    static double lowestUnknownCost(
            Collection<UpstreamState> states, DispatchRequest request, SelectionContext context) {
        double lowest = Double.POSITIVE_INFINITY;
        for (UpstreamState state : states) {
            if (slowdownUnknown(state, context)
                    && !state.hostSlowdown.recentlySlow(context.nowNanos())
                    && !request.excluded().contains(state.id())
                    && isCandidate(state, request, context)) {
                lowest = Math.min(lowest, cost(state, request, context));
            }
        }
        return lowest;
    }

    static boolean slowdownUnknown(UpstreamState state, SelectionContext context) {
        return state.hostSlowdown.reportsSlowdown() && !state.hostSlowdown.fresh(context.nowNanos());
    }

    /** Returns an ejected upstream that is due for a trial call. */
    Optional<UpstreamState> selectForTrial(
            Collection<UpstreamState> states, DispatchRequest request, ColdUpstreams cold, long nowNanos) {
        for (UpstreamState state : states) {
            boolean due = state.usable()
                    && state.inFlight == 0
                    && state.ejection.trialDue(nowNanos)
                    && !request.isClosed(state.id(), nowNanos)
                    && !request.excluded().contains(state.id())
                    && cold.mayReceiveCall(state.id(), nowNanos);
            if (due) {
                return Optional.of(state);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a call may go to an upstream that is not closed for its refusals, now or later. */
    static boolean hasOpenUpstream(
            Collection<UpstreamState> states, DispatchRequest request, SelectionContext context) {
        return states.stream()
                .anyMatch(state -> mayReceiveCalls(state, request, context)
                        && !request.excluded().contains(state.id()));
    }

    static boolean mayReceiveCalls(UpstreamState state, DispatchRequest request, SelectionContext context) {
        return state.usable()
                && !state.ejection.ejected()
                && context.refusing().isClosed(state, context.nowNanos()) == context.overflow()
                && !request.isClosed(state.id(), context.nowNanos());
    }

    static boolean isCandidate(UpstreamState state, DispatchRequest request, SelectionContext context) {
        return mayReceiveCalls(state, request, context)
                && hasFreeSlot(state, context)
                && context.cold().mayReceiveCall(state.id(), context.nowNanos());
    }

    /**
     * Returns whether another call would start immediately. The estimate is fractional because the calls of other
     * daemons are estimated.
     */
    private static boolean hasFreeSlot(UpstreamState state, SelectionContext context) {
        if (context.nowNanos() - state.backoffUntilNanos < 0) {
            return false;
        }
        long estimatedInFlight = Math.round(estimatedInFlight(state, context));
        return estimatedInFlight < state.slots - 1
                || (estimatedInFlight < state.slots
                        && (state.slots == 1 || context.lastSlotPolicy().mayUse(state.slots, context.nowNanos())));
    }

    private static boolean mayStartNow(UpstreamState state, SelectionContext context, boolean assumeNormalSpeed) {
        if (!context.probingEnabled() || !state.hostSlowdown.reportsSlowdown()) {
            return true;
        }
        if (!state.hostSlowdown.fresh(context.nowNanos())) {
            return state.probeTimedOut(context.nowNanos()) || (assumeNormalSpeed && !isWorthWaitingFor(state, context));
        }
        return !isWorthWaitingFor(state, context);
    }

    /** Returns whether a call should wait because the last report of the host showed a slowdown that will end. */
    private static boolean isWorthWaitingFor(UpstreamState state, SelectionContext context) {
        if (context.slowdownPersists()) {
            return false;
        }
        return state.hostSlowdown.fresh(context.nowNanos())
                ? !SlowHostPolicy.shouldStartNow(state.hostSlowdown.factor(), context.typicalNanos())
                : state.hostSlowdown.recentlySlow(context.nowNanos());
    }

    static double estimatedInFlight(UpstreamState state, SelectionContext context) {
        return state.inFlight + state.load.expectedOtherInFlight(context.averages(), context.nowNanos());
    }

    static boolean wouldUseLastSlot(UpstreamState state, double estimatedInFlight) {
        return Math.round(estimatedInFlight) >= state.slots - 1;
    }

    /** Returns whether the upstream is in another failure domain than the calling daemon. */
    static boolean isRemote(UpstreamState state, DispatchRequest request) {
        String failureDomain = request.origin().failureDomain();
        return !failureDomain.isEmpty()
                && !failureDomain.equals(state.upstream().failureDomain());
    }

    /** Returns the cost of an upstream for a call. */
    static double cost(UpstreamState state, DispatchRequest request, SelectionContext context) {
        double coldStartCost = context.cold().isCold(state.id(), context.nowNanos())
                ? COLD_START_COST
                : COLD_START_COST * (1 - state.ejection.slowStartFraction(context.nowNanos()));
        boolean unused = !state.hasReceivedCall && coldStartCost == 0;
        double estimatedInFlight = estimatedInFlight(state, context);
        return state.latencyRatio
                + UTILIZATION_COST * estimatedInFlight / state.slots
                + (wouldUseLastSlot(state, estimatedInFlight) ? LAST_SLOT_COST : 0)
                + (isRemote(state, request) ? REMOTE_COST : 0)
                + context.connections().cost(state, estimatedInFlight, context)
                - (unused ? UNUSED_UPSTREAM_BONUS : 0)
                + coldStartCost;
    }

    /**
     * Returns a small random cost. Otherwise the first listed upstream would receive all calls of a lightly loaded
     * service.
     */
    private double tieBreaker() {
        return random.nextDouble() * 1e-3;
    }

    private record RankedUpstream(UpstreamState state, double cost) {}
}
