package org.sardinepost.core.routing;

import java.time.Duration;

/**
 * Decides whether a call waits for the response to a load probe instead of starting at once on a costlier upstream.
 *
 * <p>The load that this is for: a large fleet under light load. Each daemon then has idle connections to only a few
 * upstreams, and reports of their slowdown are outdated when its next call arrives, while another upstream, to which the
 * daemon has no connection or which is in another failure domain, happens to have reported a moment ago. A probe takes no
 * longer than opening a connection to that upstream.
 */
final class ProbeWaitPolicy {
    /** The round trip between distant failure domains of a region, which a new connection to one takes as well. */
    private static final long MAX_WAIT_NANOS = Duration.ofMillis(8).toNanos();

    /**
     * The smallest difference in cost that justifies a wait: less than the cost of a connection or of another failure
     * domain, and more than that of one further call in progress.
     */
    private static final double MIN_SAVING = 0.2;

    /** The wait takes at most this part of the time to the target, so that it makes no call late. */
    private static final int MIN_WAITS_TO_TARGET = 20;

    /** While there are this many free slots for each queued call, the calls hardly compete for the same ones. */
    private static final int MIN_FREE_SLOTS_PER_CALL = 4;

    private ProbeWaitPolicy() {}

    /**
     * Returns whether there are so many free slots that calls may start before another that waits, and thus need not wait
     * behind it.
     *
     * @param freeSlots the number of free slots on upstreams that are not known to be slowed down
     */
    static boolean mayOvertake(int queuedCalls, int freeSlots) {
        return freeSlots >= MIN_FREE_SLOTS_PER_CALL * queuedCalls;
    }

    /**
     * Returns whether a call has the time to wait.
     *
     * @param waitedNanos how long the call has been queued
     * @param othersQueued whether other calls are queued, which would wait behind this one
     */
    static boolean mayWait(DispatchRequest request, long waitedNanos, boolean othersQueued, long nowNanos) {
        return !othersQueued
                && waitedNanos < MAX_WAIT_NANOS
                && request.targetNanos() - nowNanos >= MIN_WAITS_TO_TARGET * MAX_WAIT_NANOS;
    }

    /**
     * Returns whether the wait is worth it.
     *
     * @param startableCost the cost of the cheapest upstream on which the call may start at once
     * @param unknownCost the cost of the cheapest upstream whose slowdown is unknown
     */
    static boolean isWorthWaiting(double startableCost, double unknownCost) {
        return unknownCost + MIN_SAVING <= startableCost;
    }
}
