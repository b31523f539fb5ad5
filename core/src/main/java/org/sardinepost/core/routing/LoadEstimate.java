package org.sardinepost.core.routing;

/**
 * Estimates the number of calls that other daemons have in progress on one upstream.
 *
 * <p>The estimate decays from the last observation towards the mean of the service, because the calls that the
 * observation counted end and others begin. Not thread-safe.
 */
final class LoadEstimate {
    private double observedInFlight;
    private long observedNanos;
    private boolean known;
    private int consecutiveRefusals;
    private int peerInFlight;

    /** Records the load reported on a response, without this daemon's own calls. */
    void recordResponse(int otherInFlight, long nowNanos) {
        observe(otherInFlight, nowNanos);
        consecutiveRefusals = 0;
    }

    /** Records the load reported on a refusal. Each further consecutive refusal slows the decay of the observation. */
    void recordRefusal(int otherInFlight, long nowNanos) {
        observe(otherInFlight, nowNanos);
        consecutiveRefusals++;
    }

    private void observe(int otherInFlight, long nowNanos) {
        observedInFlight = otherInFlight;
        observedNanos = nowNanos;
        known = true;
    }

    long ageNanos(long nowNanos) {
        return known ? Math.max(0, nowNanos - observedNanos) : Long.MAX_VALUE;
    }

    void addPeerInFlight(int delta) {
        peerInFlight += delta;
    }

    int peerInFlight() {
        return peerInFlight;
    }

    /** Returns the expected number of calls that other daemons have in progress now. */
    double expectedOtherInFlight(ServiceAverages averages, long nowNanos) {
        double mean = averages.meanOtherInFlight(nowNanos);
        double peerWeight = averages.peerWeight();
        double peerDeviation = peerWeight * (peerInFlight - averages.meanPeerInFlight());
        if (!known) {
            return Math.max(0, mean + peerDeviation);
        }
        double decayNanos = averages.decayNanos() * (1 + consecutiveRefusals);
        double age = Math.max(0, nowNanos - observedNanos);
        double weight = approximateExpDecay(age / decayNanos);
        double deviation = (weight * (observedInFlight - mean) + peerDeviation) / Math.max(1, weight + peerWeight);
        return Math.max(0, mean + deviation);
    }

    /** Approximates {@code exp(-x)}, because computing the exact value would take most of the time of a decision. */
    private static double approximateExpDecay(double x) {
        return 1 / (1 + x * (1 + x * (1.0 / 2 + x * (1.0 / 6 + x / 24))));
    }
}
