package org.sardinepost.core.routing;

/**
 * Tracks whether an upstream is in use, ejected or in slow start.
 *
 * <p>An ejected upstream receives single trial calls, with an exponential backoff after failed trials. Enough
 * consecutive successful trials end the ejection, followed by a slow start. Not thread-safe.
 */
final class EjectionState {
    /** The reason why an upstream is ejected. */
    enum Reason {
        NONE,
        FAILING,
        SLOW
    }

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long INITIAL_BACKOFF_NANOS = SECOND_NANOS;
    private static final long MAX_BACKOFF_NANOS = 16 * SECOND_NANOS;
    private static final long BACKOFF_RESET_NANOS = 60 * SECOND_NANOS;
    private static final long SLOW_START_NANOS = 3 * SECOND_NANOS;
    private static final double MIN_SLOW_START_FRACTION = 0.1;
    /**
     * A single fast response is not sufficient evidence: at a latency ratio of 5, about 40% of a straggler's responses
     * look normal.
     */
    private static final int REQUIRED_SUCCESSFUL_TRIALS = 3;

    private Reason reason = Reason.NONE;
    private long backoffNanos = INITIAL_BACKOFF_NANOS;
    private long nextTrialNanos;
    private boolean trialInProgress;
    private int successfulTrials;
    private boolean inSlowStart;
    private long slowStartBeginNanos;

    Reason reason() {
        return reason;
    }

    boolean ejected() {
        return reason != Reason.NONE;
    }

    void eject(Reason newReason, long nowNanos) {
        if (nowNanos - slowStartBeginNanos > BACKOFF_RESET_NANOS) {
            backoffNanos = INITIAL_BACKOFF_NANOS;
        }
        reason = newReason;
        successfulTrials = 0;
        nextTrialNanos = nowNanos + backoffNanos;
    }

    /** Ends the ejection without trials because the limit on ejected upstreams no longer allows it. */
    void readmit() {
        reason = Reason.NONE;
        trialInProgress = false;
    }

    void beginSlowStart(long nowNanos) {
        inSlowStart = true;
        slowStartBeginNanos = nowNanos;
    }

    /** Returns the fraction of its normal calls that an upstream in slow start receives; 1 for all others. */
    double slowStartFraction(long nowNanos) {
        if (!inSlowStart) {
            return 1;
        }
        double fraction = (double) (nowNanos - slowStartBeginNanos) / SLOW_START_NANOS;
        if (fraction >= 1) {
            inSlowStart = false;
        }
        return Math.max(MIN_SLOW_START_FRACTION, Math.min(1, fraction));
    }

    boolean trialDue(long nowNanos) {
        return ejected() && !trialInProgress && nowNanos - nextTrialNanos >= 0;
    }

    void trialStarted() {
        trialInProgress = true;
    }

    /** Records a trial without a conclusive result, for example because the caller cancelled the call. */
    void trialInconclusive(long nowNanos) {
        trialInProgress = false;
        nextTrialNanos = nowNanos + INITIAL_BACKOFF_NANOS / 4;
    }

    void trialFailed(long nowNanos) {
        trialInProgress = false;
        successfulTrials = 0;
        backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
        nextTrialNanos = nowNanos + backoffNanos;
    }

    /** Records a successful trial; returns true if this ends the ejection. */
    boolean trialSucceeded(long nowNanos) {
        trialInProgress = false;
        successfulTrials++;
        if (!ejected() || successfulTrials < REQUIRED_SUCCESSFUL_TRIALS) {
            return false;
        }
        reason = Reason.NONE;
        beginSlowStart(nowNanos);
        return true;
    }
}
