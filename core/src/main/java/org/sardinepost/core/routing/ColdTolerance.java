package org.sardinepost.core.routing;

/**
 * How far the calls to a cold upstream may exceed its warm-up rate.
 *
 * @param overshoot the factor by which the rate may be exceeded
 * @param slack the number of calls in any second that are tolerated in addition
 */
public record ColdTolerance(double overshoot, double slack) {
    /** Tolerates no call above the rate. */
    public static final ColdTolerance NONE = new ColdTolerance(1, 0);

    public ColdTolerance {
        if (!(overshoot > 0) || !(slack >= 0)) {
            throw new IllegalArgumentException("overshoot " + overshoot + " must be above 0 and slack " + slack
                    + " must be at least 0; correct the settings section [warm-up]");
        }
    }
}
