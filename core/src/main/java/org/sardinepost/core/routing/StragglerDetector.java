package org.sardinepost.core.routing;

/**
 * Detects stragglers: upstreams whose mean latency is a multiple of the mean latency of the service's other upstreams.
 *
 * <p>Only the ratio is compared. An absolute limit would eject every upstream of a slow service and none of a fast one.
 * Not thread-safe.
 */
final class StragglerDetector {
    private static final double STRAGGLER_RATIO = 2.5;
    /**
     * Applies to a single sample, or if there is only one upstream to compare with: both vary more than an average.
     */
    private static final double SINGLE_SAMPLE_RATIO = 4;

    private double sumOfLogMeans;
    private int comparedUpstreams;

    /** Records a latency sample of an upstream and updates the sum over all upstreams. */
    void addSample(LogLatencyAverage upstream, long nanos) {
        remove(upstream);
        upstream.add(nanos);
        if (upstream.hasEnoughSamples()) {
            sumOfLogMeans += upstream.mean();
            comparedUpstreams++;
        }
    }

    /** Removes an upstream from the comparison. */
    void remove(LogLatencyAverage upstream) {
        if (upstream.hasEnoughSamples()) {
            sumOfLogMeans -= upstream.mean();
            comparedUpstreams--;
        }
    }

    /**
     * Returns the factor by which a straggler is slower than the other upstreams; 1 for an upstream that is not a
     * straggler.
     */
    double latencyRatio(LogLatencyAverage upstream) {
        int otherUpstreams = comparedUpstreams - 1;
        if (!upstream.hasEnoughSamples() || otherUpstreams < 1) {
            return 1;
        }
        double ratio = Math.exp(upstream.mean() - (sumOfLogMeans - upstream.mean()) / otherUpstreams);
        return ratio > (otherUpstreams == 1 ? SINGLE_SAMPLE_RATIO : STRAGGLER_RATIO) ? ratio : 1;
    }

    /** Returns whether a single latency of an upstream outside the comparison is that of a straggler. */
    boolean isStragglerLatency(long nanos) {
        return comparedUpstreams > 0
                && Math.log((double) Math.max(1, nanos))
                        > sumOfLogMeans / comparedUpstreams + Math.log(SINGLE_SAMPLE_RATIO);
    }
}
