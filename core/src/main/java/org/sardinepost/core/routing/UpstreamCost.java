package org.sardinepost.core.routing;

/** Ranks upstreams by the expected time until a further call ends there. Lower is better. */
final class UpstreamCost {
    /** Less than one call, so that one call more in the own failure domain already outweighs the shorter way. */
    private static final double REMOTE_CALLS = 0.9;

    private static final double FAILURE_CALLS = 4;

    private UpstreamCost() {}

    static double of(UpstreamState state, ServiceAverages service, long nowNanos) {
        double calls = state.inFlight + state.load.others(service, nowNanos);
        double remote = state.local() ? 0 : REMOTE_CALLS;
        double failures = FAILURE_CALLS * state.failuresInARow;
        return state.slowness * (1 + calls / state.slots) + (remote + failures) / state.slots;
    }
}
