package org.sardinepost.core.routing;

import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects the upstream with the lowest cost among those that can accept a call.
 *
 * <p>Small services are scanned completely. For large ones a few random upstreams are compared, so that the decision
 * time does not grow with the service; all are scanned only if no sampled upstream has capacity. Not thread-safe.
 */
final class JointUpstreamSelector {
    private static final int FULL_SCAN_LIMIT = 20;
    private static final int SAMPLE_SIZE = 8;

    /**
     * Preference classes; a call is queued rather than sent to a worse class while upstreams of a better class exist.
     */
    private static final int HEALTHY = 0;

    /** Closed for its refusals; used while the healthy ones are full. */
    private static final int REFUSING = 1;

    private static final int EXCLUDED = 2;
    private static final int EJECTED = 3;
    private static final int NONE = 4;

    private final RandomGenerator random;
    private final ClosedUpstreams closedUpstreams;
    private final ColdUpstreams cold;
    private final RefusingUpstreams refusing;
    private UpstreamState[] states = {};

    private UpstreamState best;
    private boolean bestDeferred;
    private double bestCost;
    private int bestPreference;
    private int existingPreference;

    JointUpstreamSelector(
            RandomGenerator random, ClosedUpstreams closedUpstreams, ColdUpstreams cold, RefusingUpstreams refusing) {
        this.refusing = refusing;
        this.random = random;
        this.closedUpstreams = closedUpstreams;
        this.cold = cold;
    }

    void setStates(UpstreamState[] values) {
        states = values;
    }

    /** Returns the upstream for a call, or null if the call must be queued. */
    UpstreamState select(Set<UpstreamId> excluded, ServiceAverages averages, long nowNanos) {
        reset();
        if (states.length > FULL_SCAN_LIMIT) {
            for (int i = 0; i < SAMPLE_SIZE; i++) {
                consider(states[random.nextInt(states.length)], excluded, averages, nowNanos);
            }
            if (bestPreference == HEALTHY) {
                return best;
            }
            reset();
        }
        return scanAll(excluded, averages, nowNanos);
    }

    private UpstreamState scanAll(Set<UpstreamId> excluded, ServiceAverages averages, long nowNanos) {
        int start = states.length == 0 ? 0 : random.nextInt(states.length);
        for (int i = 0; i < states.length; i++) {
            int index = start + i;
            consider(states[index < states.length ? index : index - states.length], excluded, averages, nowNanos);
        }
        return bestPreference <= existingPreference || bestPreference == REFUSING ? best : null;
    }

    private void reset() {
        best = null;
        bestPreference = NONE;
        existingPreference = NONE;
    }

    private void consider(UpstreamState state, Set<UpstreamId> excluded, ServiceAverages averages, long nowNanos) {
        if (!state.usable() || closedUpstreams.isClosed(state.id(), nowNanos) || cold.isCold(state.id(), nowNanos)) {
            return;
        }
        boolean isExcluded = !excluded.isEmpty() && excluded.contains(state.id());
        int preference = preference(state, isExcluded, nowNanos);
        existingPreference = Math.min(existingPreference, preference);
        if (state.full() || preference > bestPreference) {
            return;
        }
        double fraction = state.ejection.slowStartFraction(nowNanos);
        boolean deferred = fraction < 1 && random.nextFloat() >= fraction;
        double cost = UpstreamCost.of(state, averages, nowNanos);
        if (preference < bestPreference || isBetter(deferred, cost)) {
            best = state;
            bestPreference = preference;
            bestDeferred = deferred;
            bestCost = cost;
        }
    }

    /**
     * Returns whether a candidate is better than the best one so far; an upstream in slow start that was not drawn for
     * this call ranks last.
     */
    private boolean isBetter(boolean deferred, double cost) {
        return deferred == bestDeferred ? cost < bestCost : bestDeferred;
    }

    private int preference(UpstreamState state, boolean isExcluded, long nowNanos) {
        if (state.ejection.ejected()) {
            return EJECTED;
        }
        if (isExcluded) {
            return EXCLUDED;
        }
        return refusing.isClosed(state, nowNanos) ? REFUSING : HEALTHY;
    }

    /** Returns an ejected upstream that is due for a trial call, or null. */
    UpstreamState selectForTrial(long nowNanos) {
        int start = random.nextInt(states.length);
        int length = Math.min(states.length, FULL_SCAN_LIMIT);
        for (int i = 0; i < length; i++) {
            UpstreamState state = states[(start + i) % states.length];
            boolean due = state.usable()
                    && !state.full()
                    && state.ejection.trialDue(nowNanos)
                    && !closedUpstreams.isClosed(state.id(), nowNanos)
                    && !cold.isCold(state.id(), nowNanos);
            if (due) {
                return state;
            }
        }
        return null;
    }
}
