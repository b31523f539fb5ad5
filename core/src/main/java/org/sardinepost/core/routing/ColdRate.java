package org.sardinepost.core.routing;

/**
 * The rate at which cold upstreams of one service accept calls, and the share of it that one daemon uses.
 *
 * <p>Two daemons may pace the same upstream at the same time, for example while one of them is paused or during a
 * partition. One daemon therefore uses at most half of the limit in any second, so that both together stay within it.
 *
 * @param perSecond the calls per second that a cold upstream accepts
 */
public record ColdRate(double perSecond, ColdTolerance tolerance) {
    /** With a lower limit, two daemons that send one call each would exceed it. */
    private static final double MIN_LIMIT = 2;

    public ColdRate {
        if (!(perSecond > 0)) {
            throw new IllegalArgumentException(
                    "rate " + perSecond + " must be above 0; correct warm-up-rate in the services text");
        }
    }

    /** Returns the number of calls that a cold upstream may get in any second, summed over all daemons. */
    public double limit() {
        return perSecond * tolerance.overshoot() + tolerance.slack();
    }

    /** Returns whether the limit is too low for cold upstreams to get any calls. */
    public boolean tooLow() {
        return limit() < MIN_LIMIT;
    }

    /** Returns the tokens that the bucket of one daemon gains per second. */
    double refillPerSecond() {
        return tooLow() ? 0 : Math.min(perSecond, limit() / 2 - 1);
    }

    /** Returns the largest number of tokens in the bucket of one daemon. */
    double burst() {
        return tooLow() ? 0 : Math.max(1, limit() / 2 - refillPerSecond());
    }
}
