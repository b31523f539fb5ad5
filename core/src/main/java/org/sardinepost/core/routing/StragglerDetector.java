package org.sardinepost.core.routing;

/**
 * Decides whether an upstream is a straggler: its usual latency is a multiple of that of the service's other upstreams.
 *
 * <p>Only the ratio counts. An absolute bound would eject every upstream of a slow service and none of a fast one. Not
 * thread-safe.
 */
final class StragglerDetector {
    private static final double RATIO = 2.5;
    /** For a single sample, or with a single upstream to compare with: both scatter more than an average. */
    private static final double SINGLE_RATIO = 4;

    private double sumOfMeans;
    private int known;

    /** Adds a latency sample to an upstream and keeps the sum over all upstreams. */
    void add(LogLatencyAverage upstream, long nanos) {
        remove(upstream);
        upstream.add(nanos);
        if (upstream.known()) {
            sumOfMeans += upstream.mean();
            known++;
        }
    }

    /** Takes an upstream out of the comparison. */
    void remove(LogLatencyAverage upstream) {
        if (upstream.known()) {
            sumOfMeans -= upstream.mean();
            known--;
        }
    }

    /** Puts an upstream back into the comparison. */
    void restore(LogLatencyAverage upstream) {
        if (upstream.known()) {
            sumOfMeans += upstream.mean();
            known++;
        }
    }

    /** How many times slower than the others a straggler is; 1 for an upstream that is none. */
    double slowness(LogLatencyAverage upstream) {
        int others = known - 1;
        if (!upstream.known() || others < 1) {
            return 1;
        }
        double ratio = Math.exp(upstream.mean() - (sumOfMeans - upstream.mean()) / others);
        return ratio > (others == 1 ? SINGLE_RATIO : RATIO) ? ratio : 1;
    }

    /** Whether one latency of an upstream that is not part of the comparison is that of a straggler. */
    boolean slow(long nanos) {
        return known > 0 && Math.log((double) Math.max(1, nanos)) > sumOfMeans / known + Math.log(SINGLE_RATIO);
    }
}
