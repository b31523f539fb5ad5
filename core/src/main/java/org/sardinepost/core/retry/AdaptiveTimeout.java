package org.sardinepost.core.retry;

import java.time.Duration;

/**
 * A timeout that follows the response times of one peer, in the way of the retransmission timeout of TCP (RFC 6298).
 *
 * <p>With a fixed timeout, a peer that is slightly slower than expected never responds in time, although waiting a little
 * longer is better than doing without the response. Thread-safe.
 */
public final class AdaptiveTimeout {
    private static final double MEAN_SMOOTHING = 1.0 / 8;
    private static final double DEVIATION_SMOOTHING = 1.0 / 4;
    private static final double DEVIATIONS = 4;

    private final long minNanos;
    private double meanNanos;
    private double deviationNanos;
    private boolean measured;

    /** Creates a timeout that is used until there are responses, and that later ones do not fall below. */
    public AdaptiveTimeout(Duration min) {
        this.minNanos = min.toNanos();
    }

    /** Records a response, also one that came after the timeout. */
    public synchronized void recordResponse(long elapsedNanos) {
        if (!measured) {
            measured = true;
            meanNanos = elapsedNanos;
            deviationNanos = elapsedNanos / 2.0;
            return;
        }
        deviationNanos += DEVIATION_SMOOTHING * (Math.abs(elapsedNanos - meanNanos) - deviationNanos);
        meanNanos += MEAN_SMOOTHING * (elapsedNanos - meanNanos);
    }

    /**
     * Returns how long to wait for a response.
     *
     * @param maxNanos the longest time that the call can wait; the minimum applies all the same
     */
    public synchronized long nanos(long maxNanos) {
        long adapted = (long) (meanNanos + DEVIATIONS * deviationNanos);
        return Math.max(minNanos, Math.min(maxNanos, adapted));
    }
}
