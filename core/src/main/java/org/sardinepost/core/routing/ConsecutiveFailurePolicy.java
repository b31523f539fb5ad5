package org.sardinepost.core.routing;

/**
 * Determines how many consecutive failures eject an upstream.
 *
 * <p>If the other upstreams do not fail, one failure is enough: an upstream that fails every call quickly would
 * otherwise attract the calls of several upstreams. If calls fail on all upstreams, for example because the requests
 * are invalid, consecutive failures also occur by chance and the threshold is higher. Not thread-safe.
 */
final class ConsecutiveFailurePolicy {
    private static final double SMOOTHING = 0.05;
    private static final double FALSE_EJECTION_PROBABILITY = 0.01;

    /** Above this failure rate, a false ejection costs more than detecting a faulty upstream a few calls later. */
    private static final double HIGH_FAILURE_RATE = 0.1;

    private static final double FALSE_EJECTION_PROBABILITY_AT_HIGH_RATE = 0.001;

    /** Reached at a failure rate of 70% on all upstreams; an upstream that fails every call is still detected. */
    private static final int MAX_THRESHOLD = 20;

    private double sumOfRates;

    /**
     * Returns the failure rate of an upstream updated by the result of one call; also updates the sum over all
     * upstreams.
     */
    double updateRate(double rate, boolean failed) {
        double updated = rate + SMOOTHING * ((failed ? 1 : 0) - rate);
        sumOfRates += updated - rate;
        return updated;
    }

    void remove(double rate) {
        sumOfRates = Math.max(0, sumOfRates - rate);
    }

    /** Returns the number of consecutive failures that ejects an upstream with this failure rate. */
    int ejectionThreshold(double rate, int upstreams) {
        double otherRate = upstreams < 2 ? 0 : Math.max(0, sumOfRates - rate) / (upstreams - 1);
        if (otherRate <= FALSE_EJECTION_PROBABILITY) {
            return 1;
        }
        if (otherRate >= 1) {
            return MAX_THRESHOLD;
        }
        double falseEjectionProbability =
                otherRate > HIGH_FAILURE_RATE ? FALSE_EJECTION_PROBABILITY_AT_HIGH_RATE : FALSE_EJECTION_PROBABILITY;
        return (int) Math.min(MAX_THRESHOLD, Math.ceil(Math.log(falseEjectionProbability) / Math.log(otherRate)));
    }
}
