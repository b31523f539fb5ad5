package org.sardinepost.core.admission;

import org.sardinepost.core.routing.DispatchRequest;

/**
 * Decides whether a call may wait for a place.
 *
 * <p>Under lasting overload some calls cannot be answered in time. Which ones is decided at their arrival: a short queue
 * keeps every upstream busy, and each call in it still has time to be answered within its target. A long one would make all
 * of them late.
 */
public final class QueueAdmissionPolicy {
    /** Share of the time to the target that a call may be expected to wait; the rest is for the work. */
    private static final double EXPECTED_WAIT_SHARE = 0.25;

    /** Share after which a call is refused although it was expected to get a place sooner. */
    private static final double LONGEST_WAIT_SHARE = 0.4;

    /**
     * Share of the time to the deadline that a late call may wait. While calls that are on time wait, it hardly ever gets a
     * place, and its caller had better know that at once.
     */
    private static final double LATE_WAIT_SHARE = 0.1;

    /** Calls with less time than this share of the usual service time are almost never answered in time. */
    private static final double SHORTEST_WORK_SHARE = 0.4;

    private QueueAdmissionPolicy() {}

    /** Whether no upstream would answer the call before its deadline, even if it started now. */
    public static boolean hopeless(DispatchRequest request, long serviceNanos, long nowNanos) {
        long left = request.deadlineNanos() - nowNanos;
        return left <= 0 || left < SHORTEST_WORK_SHARE * serviceNanos;
    }

    /** Whether the call can be answered within its target if it starts now. */
    public static boolean onTime(DispatchRequest request, long serviceNanos, long nowNanos) {
        return request.targetNanos() - nowNanos >= SHORTEST_WORK_SHARE * serviceNanos;
    }

    /**
     * Whether a new call may wait.
     *
     * @param waitNanos the expected wait
     * @param serviceNanos the usual service time
     */
    public static boolean mayWait(DispatchRequest request, long waitNanos, long serviceNanos, long nowNanos) {
        if (hopeless(request, serviceNanos, nowNanos + waitNanos)) {
            return false;
        }
        return waitNanos <= share(request, EXPECTED_WAIT_SHARE, nowNanos) * useful(request, nowNanos);
    }

    /** The time by which a call that begins to wait now is refused. */
    public static long waitsUntilNanos(DispatchRequest request, long nowNanos) {
        return nowNanos + (long) (share(request, LONGEST_WAIT_SHARE, nowNanos) * useful(request, nowNanos));
    }

    private static double share(DispatchRequest request, double onTimeShare, long nowNanos) {
        return request.targetNanos() - nowNanos > 0 ? onTimeShare : LATE_WAIT_SHARE;
    }

    /** The time to the target, or to the deadline for a call that is late already. */
    private static long useful(DispatchRequest request, long nowNanos) {
        long toTarget = request.targetNanos() - nowNanos;
        return Math.max(0, toTarget > 0 ? toTarget : request.deadlineNanos() - nowNanos);
    }
}
