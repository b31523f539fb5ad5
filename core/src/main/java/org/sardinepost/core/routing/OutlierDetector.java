package org.sardinepost.core.routing;

import java.util.List;

/**
 * Judges the upstreams of one service by the results of their calls and keeps the ejection floor.
 *
 * <p>At most half of the usable upstreams are ejected: a fault that hits all of them must not leave the service without
 * upstreams. Not thread-safe.
 */
final class OutlierDetector {
    private final ServiceAverages service;
    private final StragglerDetector stragglers = new StragglerDetector();
    private final ConsecutiveFailurePolicy failures = new ConsecutiveFailurePolicy();
    private List<UpstreamState> usable = List.of();
    private int ejected;

    OutlierDetector(ServiceAverages service) {
        this.service = service;
    }

    int usable() {
        return usable.size();
    }

    int ejected() {
        return ejected;
    }

    /** Replaces the usable upstreams; readmits some if fewer may now be ejected. */
    void setUsable(List<UpstreamState> states) {
        usable = states;
        for (UpstreamState state : states) {
            if (2 * ejected > usable.size() && state.health.ejected()) {
                readmit(state);
                state.health.readmit();
            }
        }
    }

    /** Takes an upstream that leaves or was removed out of all averages. */
    void retire(UpstreamState state) {
        failures.remove(state.failureShare);
        if (state.health.ejection() != EjectionState.Ejection.SLOW) {
            stragglers.remove(state.latency);
        }
        if (state.health.ejected()) {
            ejected--;
        }
    }

    /** Records how a call ended. */
    void record(UpstreamState state, DispatchResult.Kind kind, boolean trial, long tookNanos, long nowNanos) {
        switch (kind) {
            case ANSWERED -> answered(state, trial, tookNanos, nowNanos);
            case FAILED, CONNECT_FAILED -> failed(state, trial, nowNanos);
            case REFUSED -> undecided(state, trial, nowNanos);
            case CANCELLED -> cancelled(state, trial, tookNanos, nowNanos);
        }
    }

    private void answered(UpstreamState state, boolean trial, long tookNanos, long nowNanos) {
        state.failuresInARow = 0;
        state.failureShare = failures.update(state.failureShare, false);
        if (state.health.ejected()) {
            trialAnswered(state, trial, tookNanos, nowNanos);
            return;
        }
        service.observeLatency(tookNanos);
        stragglers.add(state.latency, tookNanos);
        judgeLatency(state, nowNanos);
    }

    private void trialAnswered(UpstreamState state, boolean trial, long tookNanos, long nowNanos) {
        if (!trial) {
            return;
        }
        if (stragglers.slow(tookNanos)) {
            state.health.trialFailed(nowNanos);
            return;
        }
        boolean slow = state.health.ejection() == EjectionState.Ejection.SLOW;
        if (state.health.trialPassed(nowNanos)) {
            ejected--;
            resetLatency(state, !slow);
        }
    }

    private void judgeLatency(UpstreamState state, long nowNanos) {
        state.slowness = stragglers.slowness(state.latency);
        if (state.slowness > 1 && mayEject()) {
            stragglers.remove(state.latency);
            eject(state, EjectionState.Ejection.SLOW, nowNanos);
        }
    }

    private void failed(UpstreamState state, boolean trial, long nowNanos) {
        state.failuresInARow++;
        state.failureShare = failures.update(state.failureShare, true);
        if (trial && state.health.ejected()) {
            state.health.trialFailed(nowNanos);
            return;
        }
        boolean enough = state.failuresInARow >= failures.failuresInARow(state.failureShare, usable.size());
        if (enough && !state.health.ejected() && mayEject()) {
            eject(state, EjectionState.Ejection.FAILING, nowNanos);
        }
    }

    /** A call given up after longer than usual shows a slow upstream, although it brought no answer. */
    private void cancelled(UpstreamState state, boolean trial, long tookNanos, long nowNanos) {
        if (tookNanos <= service.latencyNanos()) {
            undecided(state, trial, nowNanos);
        } else if (!state.health.ejected()) {
            stragglers.add(state.latency, tookNanos);
            judgeLatency(state, nowNanos);
        } else if (trial) {
            state.health.trialFailed(nowNanos);
        }
    }

    private static void undecided(UpstreamState state, boolean trial, long nowNanos) {
        if (trial) {
            state.health.trialUndecided(nowNanos);
        }
    }

    private boolean mayEject() {
        return 2 * (ejected + 1) <= usable.size();
    }

    private void eject(UpstreamState state, EjectionState.Ejection reason, long nowNanos) {
        state.health.eject(reason, nowNanos);
        ejected++;
    }

    private void readmit(UpstreamState state) {
        ejected--;
        resetLatency(state, state.health.ejection() != EjectionState.Ejection.SLOW);
    }

    private void resetLatency(UpstreamState state, boolean compared) {
        if (compared) {
            stragglers.remove(state.latency);
        }
        state.latency.reset();
        state.slowness = 1;
        state.failuresInARow = 0;
    }
}
