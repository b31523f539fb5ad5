package org.sardinepost.core.routing;

/**
 * Estimates the calls that other daemons have in progress on one upstream.
 *
 * <p>An observation approaches the mean of the service as it ages, since the calls that it counted end and others begin. Not thread-safe.
 */
final class LoadEstimate {
    private double observed;
    private long observedNanos;
    private boolean known;
    private int refusals;
    private int peerSum;

    /** Records what an answer reported, without this daemon's own calls. */
    void answered(int others, long nowNanos) {
        observe(others, nowNanos);
        refusals = 0;
    }

    /** Records a refusal. Each further refusal in a row makes the observation age more slowly. */
    void refused(int others, long nowNanos) {
        observe(others, nowNanos);
        refusals++;
    }

    private void observe(int others, long nowNanos) {
        observed = others;
        observedNanos = nowNanos;
        known = true;
    }

    long ageNanos(long nowNanos) {
        return known ? Math.max(0, nowNanos - observedNanos) : Long.MAX_VALUE;
    }

    void addPeerCalls(int delta) {
        peerSum += delta;
    }

    int peerSum() {
        return peerSum;
    }

    /** The expected number of calls of other daemons now. */
    double others(ServiceAverages service, long nowNanos) {
        double mean = service.meanOthers();
        double peerWeight = service.peerWeight();
        double fromPeers = peerWeight * (peerSum - service.peerMean());
        if (!known) {
            return Math.max(0, mean + fromPeers);
        }
        double relaxationNanos = service.relaxationNanos() * (1 + refusals);
        double age = Math.max(0, nowNanos - observedNanos);
        double weight = weight(age / relaxationNanos);
        double deviation = (weight * (observed - mean) + fromPeers) / Math.max(1, weight + peerWeight);
        return Math.max(0, mean + deviation);
    }

    /** Approximates {@code exp(-x)}, whose exact value takes most of the time of a decision. */
    private static double weight(double x) {
        return 1 / (1 + x * (1 + x * (1.0 / 2 + x * (1.0 / 6 + x / 24))));
    }
}
