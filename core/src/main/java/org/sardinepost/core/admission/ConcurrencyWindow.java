package org.sardinepost.core.admission;

/**
 * Limits the number of calls of one service that this daemon has in progress.
 *
 * <p>Upstreams are shared with other daemons, so the number of free slots is unknown. Each refusal by an upstream
 * decreases the window and each response increases it, in a ratio at which refusals converge to
 * {@link #TARGET_REFUSAL_RATIO} of the dispatches. This keeps refusals below the retry budget, whose default is 10%:
 * calls beyond the window are queued instead of using up their retries. Not thread-safe.
 */
public final class ConcurrencyWindow {
    static final double TARGET_REFUSAL_RATIO = 0.08;

    private static final double INCREASE_PER_RESPONSE = 0.1;
    private static final double DECREASE_PER_REFUSAL =
            INCREASE_PER_RESPONSE * (1 - TARGET_REFUSAL_RATIO) / TARGET_REFUSAL_RATIO;
    private static final double MIN_WINDOW = 1;
    /** Halves the peak after about 350 responses. */
    private static final double PEAK_DECAY = 0.998;
    /**
     * The first refusal of a round cuts the window to this multiple of the peak, because a window far above the calls
     * in progress has no effect.
     */
    private static final double PEAK_MARGIN = 1.25;

    private double maxWindow;
    private double window;
    private double peakInFlight;
    private double roundStartWindow;
    private long roundEndNanos;

    /**
     * Sets the upper limit of the window: the sum of the limits of all upstreams.
     *
     * <p>A window that no refusal has reduced grows with the upstreams, which are often discovered one after the other.
     */
    public void setMax(int value) {
        boolean neverReduced = window >= maxWindow;
        maxWindow = Math.max(MIN_WINDOW, value);
        window = neverReduced ? maxWindow : Math.min(window, maxWindow);
    }

    public boolean allows(int inFlight) {
        return inFlight < window;
    }

    /**
     * Records a response. The window grows only while at least half of it is in use; otherwise a quiet period would
     * undo the reductions.
     */
    public void recordResponse(int inFlight) {
        peakInFlight = Math.max(inFlight, peakInFlight * PEAK_DECAY);
        if (2 * inFlight >= window) {
            window = Math.min(maxWindow, window + INCREASE_PER_RESPONSE);
        }
    }

    /**
     * Records a refusal. Refusals within one round reflect the same state of the upstreams, so a round at most halves
     * the window.
     *
     * @param nowNanos time of the refusal
     * @param roundNanos the typical duration of a call
     */
    public void recordRefusal(long nowNanos, long roundNanos) {
        if (nowNanos - roundEndNanos >= 0 || roundEndNanos == 0) {
            roundEndNanos = nowNanos + roundNanos;
            window = Math.min(window, Math.max(MIN_WINDOW, PEAK_MARGIN * peakInFlight + 1));
            roundStartWindow = window;
        }
        window = Math.max(Math.max(MIN_WINDOW, roundStartWindow / 2), window - DECREASE_PER_REFUSAL);
    }
}
