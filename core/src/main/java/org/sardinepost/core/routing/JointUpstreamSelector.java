package org.sardinepost.core.routing;

import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream with the lowest cost among those that may take a call.
 *
 * <p>Small services are scanned whole. In large ones a few random upstreams are compared, so that the time of a decision
 * does not grow with the service; all are scanned only if none of the sample has a place. Not thread-safe.
 */
final class JointUpstreamSelector {
    private static final int MAX_SCANNED = 20;
    private static final int SAMPLES = 8;

    /** Preference classes; a call waits rather than takes a place of a worse class while a better class exists. */
    private static final int HEALTHY = 0;

    private static final int EXCLUDED = 1;
    private static final int EJECTED = 2;
    private static final int NONE = 3;

    private final RandomGenerator random;
    private UpstreamState[] states = {};

    private UpstreamState best;
    private boolean bestStarts;
    private double bestCost;
    private int bestClass;
    private int existingClass;

    JointUpstreamSelector(RandomGenerator random) {
        this.random = random;
    }

    void setStates(UpstreamState[] values) {
        states = values;
    }

    /** The upstream for a call, or null if the call must wait. */
    UpstreamState choose(Set<UpstreamId> excluded, ServiceAverages service, long nowNanos) {
        reset();
        if (states.length > MAX_SCANNED) {
            for (int i = 0; i < SAMPLES; i++) {
                consider(states[random.nextInt(states.length)], excluded, service, nowNanos);
            }
            if (bestClass == HEALTHY) {
                return best;
            }
            reset();
        }
        return scan(excluded, service, nowNanos);
    }

    private UpstreamState scan(Set<UpstreamId> excluded, ServiceAverages service, long nowNanos) {
        int start = states.length == 0 ? 0 : random.nextInt(states.length);
        for (int i = 0; i < states.length; i++) {
            int index = start + i;
            consider(states[index < states.length ? index : index - states.length], excluded, service, nowNanos);
        }
        return bestClass <= existingClass ? best : null;
    }

    private void reset() {
        best = null;
        bestClass = NONE;
        existingClass = NONE;
    }

    private void consider(UpstreamState state, Set<UpstreamId> excluded, ServiceAverages service, long nowNanos) {
        if (!state.usable()) {
            return;
        }
        boolean avoided = !excluded.isEmpty() && excluded.contains(state.id());
        int preference = preference(state, avoided);
        existingClass = Math.min(existingClass, preference);
        if (state.full() || preference > bestClass) {
            return;
        }
        double share = state.health.startShare(nowNanos);
        boolean starts = share < 1 && random.nextFloat() >= share;
        double cost = UpstreamCost.of(state, service, nowNanos);
        if (preference < bestClass || better(starts, cost)) {
            best = state;
            bestClass = preference;
            bestStarts = starts;
            bestCost = cost;
        }
    }

    /** Whether a candidate beats the best one so far; one that still starts and drew no call comes last. */
    private boolean better(boolean starts, double cost) {
        return starts == bestStarts ? cost < bestCost : bestStarts;
    }

    private static int preference(UpstreamState state, boolean avoided) {
        if (state.health.ejected()) {
            return EJECTED;
        }
        return avoided ? EXCLUDED : HEALTHY;
    }

    /** An ejected upstream that is due for a trial call, or null. */
    UpstreamState trial(long nowNanos) {
        int start = random.nextInt(states.length);
        int length = Math.min(states.length, MAX_SCANNED);
        for (int i = 0; i < length; i++) {
            UpstreamState state = states[(start + i) % states.length];
            if (state.usable() && !state.full() && state.health.trialDue(nowNanos)) {
                return state;
            }
        }
        return null;
    }
}
