package org.sardinepost.core.routing;

/**
 * Whether an upstream is in use, ejected or on probation.
 *
 * <p>An ejected upstream gets single trial calls, further apart after each one that fails. Enough successes in a row bring
 * it back, with a slow start. Not thread-safe.
 */
final class EjectionState {
    /** Why an upstream is ejected. */
    enum Ejection {
        NONE,
        FAILING,
        SLOW
    }

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long FIRST_BACKOFF_NANOS = SECOND_NANOS;
    private static final long MAX_BACKOFF_NANOS = 16 * SECOND_NANOS;
    private static final long BACKOFF_MEMORY_NANOS = 60 * SECOND_NANOS;
    private static final long SLOW_START_NANOS = 3 * SECOND_NANOS;
    private static final double SLOW_START_FLOOR = 0.1;
    /** One fast answer of a straggler may be chance: with a ratio of 5 about two in five look normal. */
    private static final int TRIALS_TO_RETURN = 3;

    private Ejection ejection = Ejection.NONE;
    private long backoffNanos = FIRST_BACKOFF_NANOS;
    private long nextTrialNanos;
    private boolean trialInProgress;
    private int trialsPassed;
    private boolean starting;
    private long startedNanos;

    Ejection ejection() {
        return ejection;
    }

    boolean ejected() {
        return ejection != Ejection.NONE;
    }

    void eject(Ejection reason, long nowNanos) {
        if (nowNanos - startedNanos > BACKOFF_MEMORY_NANOS) {
            backoffNanos = FIRST_BACKOFF_NANOS;
        }
        ejection = reason;
        trialsPassed = 0;
        nextTrialNanos = nowNanos + backoffNanos;
    }

    /** Ends the ejection without trials, because the floor does not allow it any more. */
    void readmit() {
        ejection = Ejection.NONE;
        trialInProgress = false;
    }

    void startSlowly(long nowNanos) {
        starting = true;
        startedNanos = nowNanos;
    }

    /** The share of its usual calls that a starting upstream gets; 1 for all others. */
    double startShare(long nowNanos) {
        if (!starting) {
            return 1;
        }
        double share = (double) (nowNanos - startedNanos) / SLOW_START_NANOS;
        if (share >= 1) {
            starting = false;
        }
        return Math.max(SLOW_START_FLOOR, Math.min(1, share));
    }

    boolean trialDue(long nowNanos) {
        return ejected() && !trialInProgress && nowNanos - nextTrialNanos >= 0;
    }

    void trialStarted() {
        trialInProgress = true;
    }

    /** Records a trial that says nothing about the upstream, for example because the caller went away. */
    void trialUndecided(long nowNanos) {
        trialInProgress = false;
        nextTrialNanos = nowNanos + FIRST_BACKOFF_NANOS / 4;
    }

    void trialFailed(long nowNanos) {
        trialInProgress = false;
        trialsPassed = 0;
        backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
        nextTrialNanos = nowNanos + backoffNanos;
    }

    /** Records a trial that passed; true if the upstream is back in use. */
    boolean trialPassed(long nowNanos) {
        trialInProgress = false;
        trialsPassed++;
        if (!ejected() || trialsPassed < TRIALS_TO_RETURN) {
            return false;
        }
        ejection = Ejection.NONE;
        startSlowly(nowNanos);
        return true;
    }
}
