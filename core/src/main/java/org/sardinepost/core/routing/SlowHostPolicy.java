package org.sardinepost.core.routing;

import java.time.Duration;

/**
 * Decides whether a call is better started on a slowed host now or on a host with its usual pace a little later.
 *
 * <p>An upstream works on a call at the pace that its host has at the start. Where a neighbour makes work take five times as
 * long, a call that waits for the neighbour to finish is answered earlier, and takes up its slot for a fifth of the time.
 */
final class SlowHostPolicy {
    /** Half of the usual time for which a neighbour keeps the host busy. */
    private static final long USUAL_WAIT_NANOS = Duration.ofMillis(60).toNanos();

    /** A call whose usual time is unknown is better not started on a host that a neighbour slows. */
    private static final double LARGEST_FACTOR_OF_UNKNOWN_CALLS = 1.5;

    private SlowHostPolicy() {}

    /** Whether to start now. */
    static boolean startsNow(double factor, long serviceNanos) {
        if (serviceNanos <= 0) {
            return factor <= LARGEST_FACTOR_OF_UNKNOWN_CALLS;
        }
        return (factor - 1) * serviceNanos <= USUAL_WAIT_NANOS;
    }
}
