package org.sardinepost.core.admission;

/**
 * The typical service time of one kind of call.
 *
 * <p>This is a moving geometric mean, which limits the influence of a few very long calls. Not thread-safe.
 */
final class ServiceTimeAverage {
    /** Adapts to a change in upstream speed within about 50 calls. */
    private static final double SMOOTHING = 0.04;

    private double meanLog;
    private double arithmeticMean;
    private int samples;
    private long updatedNanos;

    void recordResponse(long durationNanos, long nowNanos) {
        updatedNanos = nowNanos;
        samples++;
        double logSample = Math.log((double) Math.max(1, durationNanos));
        meanLog += Math.max(SMOOTHING, 1.0 / samples) * (logSample - meanLog);
        arithmeticMean += Math.max(SMOOTHING, 1.0 / samples) * (durationNanos - arithmeticMean);
    }

    /** Replaces the mean, which is outdated, by the result of a trial call. */
    void recordTrial(long durationNanos, long nowNanos) {
        updatedNanos = nowNanos;
        meanLog = Math.log((double) Math.max(1, durationNanos));
    }

    void trialStarted(long nowNanos) {
        updatedNanos = nowNanos;
    }

    /** Returns the time of the last response or trial call. */
    long updatedNanos() {
        return updatedNanos;
    }

    int samples() {
        return samples;
    }

    /** Returns the arithmetic mean, which determines how much of the capacity the calls take. */
    long arithmeticMeanNanos() {
        return (long) arithmeticMean;
    }

    /** Returns the mean; 0 until a call gets a response. */
    long meanNanos() {
        return samples == 0 ? 0 : (long) Math.exp(meanLog);
    }
}
