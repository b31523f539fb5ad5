package org.sardinepost.core.routing;

/**
 * A moving average of the logarithm of an upstream's latency.
 *
 * <p>The logarithm prevents a few very long calls from making a healthy upstream look like a straggler. Not
 * thread-safe.
 */
final class LogLatencyAverage {
    private static final double SMOOTHING = 1.0 / 12;
    private static final int MIN_SAMPLES = 8;
    private static final long MIN_LATENCY_NANOS = 100_000;

    private double mean;
    private int samples;

    void add(long nanos) {
        double sample = Math.log((double) Math.max(nanos, MIN_LATENCY_NANOS));
        samples++;
        mean += Math.max(SMOOTHING, 1.0 / samples) * (sample - mean);
    }

    boolean hasEnoughSamples() {
        return samples >= MIN_SAMPLES;
    }

    double mean() {
        return mean;
    }

    void reset() {
        mean = 0;
        samples = 0;
    }
}
