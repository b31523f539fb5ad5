package org.sardinepost.core.routing;

/** Ranks upstreams by the expected time until another call completes there. Lower is better. */
final class UpstreamCost {
    /**
     * Less than one call, so that one additional call on a local upstream already outweighs its shorter round trip.
     */
    private static final double REMOTE_COST_CALLS = 0.9;

    private static final double FAILURE_COST_CALLS = 4;

    private UpstreamCost() {}

    static double of(UpstreamState state, ServiceAverages averages, long nowNanos) {
        double totalInFlight = state.inFlight + state.load.expectedOtherInFlight(averages, nowNanos);
        double remoteCost = state.local() ? 0 : REMOTE_COST_CALLS;
        double failureCost = FAILURE_COST_CALLS * state.consecutiveFailures;
        return state.latencyRatio * (1 + totalInFlight / state.slots) + (remoteCost + failureCost) / state.slots;
    }
}
