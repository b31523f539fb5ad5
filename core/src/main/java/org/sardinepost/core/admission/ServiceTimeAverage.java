package org.sardinepost.core.admission;

/**
 * The usual time that an upstream takes for one kind of call.
 *
 * <p>The mean is that of the logarithms, so that a few very long calls do not change it much. Not thread-safe.
 */
final class ServiceTimeAverage {
    /** Follows a change of the upstreams' speed within some fifty calls. */
    private static final double SMOOTHING = 0.04;

    private double meanLog;
    private int samples;

    void answered(long tookNanos) {
        samples++;
        double log = Math.log((double) Math.max(1, tookNanos));
        meanLog += Math.max(SMOOTHING, 1.0 / samples) * (log - meanLog);
    }

    int samples() {
        return samples;
    }

    /** The mean; 0 while no call was answered. */
    long meanNanos() {
        return samples == 0 ? 0 : (long) Math.exp(meanLog);
    }
}
