package org.sardinepost.core.routing;

import java.util.List;

/**
 * Ejects upstreams of one service whose calls fail or take unusually long, and limits the number of ejected upstreams.
 *
 * <p>At most half of the usable upstreams are ejected, because a fault that affects all of them must not leave the
 * service without upstreams. Not thread-safe.
 */
final class OutlierDetector {
    private final ServiceAverages averages;
    private final StragglerDetector stragglerDetector = new StragglerDetector();
    private final ConsecutiveFailurePolicy failurePolicy = new ConsecutiveFailurePolicy();
    private List<UpstreamState> usable = List.of();
    private int ejectedCount;

    OutlierDetector(ServiceAverages averages) {
        this.averages = averages;
    }

    int usableCount() {
        return usable.size();
    }

    int ejectedCount() {
        return ejectedCount;
    }

    /** Replaces the usable upstreams and readmits ejected ones while more than half are ejected. */
    void setUsableUpstreams(List<UpstreamState> states) {
        usable = states;
        for (UpstreamState state : states) {
            if (2 * ejectedCount > usable.size() && state.ejection.ejected()) {
                readmit(state);
                state.ejection.readmit();
            }
        }
    }

    /** Drops a leaving or removed upstream from all averages. */
    void remove(UpstreamState state) {
        failurePolicy.remove(state.failureRate);
        if (state.ejection.reason() != EjectionState.Reason.SLOW) {
            stragglerDetector.remove(state.latency);
        }
        if (state.ejection.ejected()) {
            ejectedCount--;
        }
    }

    /** Records how a call ended. */
    void record(UpstreamState state, DispatchResult.Kind kind, boolean trial, long durationNanos, long nowNanos) {
        switch (kind) {
            case ANSWERED -> recordResponse(state, trial, durationNanos, nowNanos);
            case FAILED, CONNECT_FAILED -> recordFailure(state, trial, nowNanos);
            case REFUSED -> recordInconclusive(state, trial, nowNanos);
            case CANCELLED -> recordCancellation(state, trial, durationNanos, nowNanos);
        }
    }

    private void recordResponse(UpstreamState state, boolean trial, long durationNanos, long nowNanos) {
        state.consecutiveFailures = 0;
        state.failureRate = failurePolicy.updateRate(state.failureRate, false);
        if (state.ejection.ejected()) {
            recordTrialResponse(state, trial, durationNanos, nowNanos);
            return;
        }
        averages.recordLatency(durationNanos);
        stragglerDetector.addSample(state.latency, durationNanos);
        ejectIfSlow(state, nowNanos);
    }

    private void recordTrialResponse(UpstreamState state, boolean trial, long durationNanos, long nowNanos) {
        if (!trial) {
            return;
        }
        if (stragglerDetector.isStragglerLatency(durationNanos)) {
            state.ejection.trialFailed(nowNanos);
            return;
        }
        boolean slow = state.ejection.reason() == EjectionState.Reason.SLOW;
        if (state.ejection.trialSucceeded(nowNanos)) {
            ejectedCount--;
            resetLatency(state, !slow);
        }
    }

    private void ejectIfSlow(UpstreamState state, long nowNanos) {
        state.latencyRatio = stragglerDetector.latencyRatio(state.latency);
        if (state.latencyRatio > 1 && mayEject()) {
            stragglerDetector.remove(state.latency);
            eject(state, EjectionState.Reason.SLOW, nowNanos);
        }
    }

    private void recordFailure(UpstreamState state, boolean trial, long nowNanos) {
        state.consecutiveFailures++;
        state.failureRate = failurePolicy.updateRate(state.failureRate, true);
        if (trial && state.ejection.ejected()) {
            state.ejection.trialFailed(nowNanos);
            return;
        }
        boolean thresholdReached =
                state.consecutiveFailures >= failurePolicy.ejectionThreshold(state.failureRate, usable.size());
        if (thresholdReached && !state.ejection.ejected() && mayEject()) {
            eject(state, EjectionState.Reason.FAILING, nowNanos);
        }
    }

    /** Counts a call cancelled after more than the mean latency as a latency sample: it indicates a slow upstream. */
    private void recordCancellation(UpstreamState state, boolean trial, long durationNanos, long nowNanos) {
        if (durationNanos <= averages.latencyNanos()) {
            recordInconclusive(state, trial, nowNanos);
        } else if (!state.ejection.ejected()) {
            stragglerDetector.addSample(state.latency, durationNanos);
            ejectIfSlow(state, nowNanos);
        } else if (trial) {
            state.ejection.trialFailed(nowNanos);
        }
    }

    /** Records the end of a call that says nothing about the upstream. */
    void recordInconclusive(UpstreamState state, boolean trial, long nowNanos) {
        if (trial) {
            state.ejection.trialInconclusive(nowNanos);
        }
    }

    private boolean mayEject() {
        return 2 * (ejectedCount + 1) <= usable.size();
    }

    private void eject(UpstreamState state, EjectionState.Reason reason, long nowNanos) {
        state.ejection.eject(reason, nowNanos);
        ejectedCount++;
    }

    private void readmit(UpstreamState state) {
        ejectedCount--;
        resetLatency(state, state.ejection.reason() != EjectionState.Reason.SLOW);
    }

    private void resetLatency(UpstreamState state, boolean inComparison) {
        if (inComparison) {
            stragglerDetector.remove(state.latency);
        }
        state.latency.reset();
        state.latencyRatio = 1;
        state.consecutiveFailures = 0;
    }
}
