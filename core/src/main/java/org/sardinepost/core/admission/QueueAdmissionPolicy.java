package org.sardinepost.core.admission;

import org.sardinepost.core.routing.DispatchRequest;

/**
 * Decides whether a call may be queued.
 *
 * <p>Under sustained overload some calls cannot get a response in time. These are refused on arrival: a short queue
 * keeps every upstream busy while each queued call still has time to meet its target. A long queue would make all calls
 * late.
 */
public final class QueueAdmissionPolicy {
    /**
     * Fraction of the time to the target that a call may be queued. The rest is left for the service time: for the kinds
     * in service it is at least 1.5 times that of an upstream at normal speed, and upstreams slow down when they are
     * nearly full.
     */
    private static final double MAX_WAIT_FRACTION = 0.4;

    /**
     * Fraction of the time to the deadline that a late call may be queued. While calls that can meet their target are
     * queued, a late call is rarely dispatched, so it is refused early.
     */
    private static final double LATE_WAIT_FRACTION = 0.1;

    /** Calls with less time than this fraction of the typical service time are almost never completed in time. */
    private static final double MIN_SERVICE_TIME_FRACTION = 0.4;

    private QueueAdmissionPolicy() {}

    /** Returns whether no upstream would respond to the call before its deadline even if it started now. */
    public static boolean cannotMeetDeadline(DispatchRequest request, long typicalNanos, long nowNanos) {
        return lastStartNanos(request, typicalNanos) - nowNanos <= 0;
    }

    /** Returns the time from which on no upstream would respond before the deadline. */
    static long lastStartNanos(DispatchRequest request, long typicalNanos) {
        return request.deadlineNanos() - (long) (MIN_SERVICE_TIME_FRACTION * typicalNanos);
    }

    /** Returns whether the call can meet its target if it starts now. */
    public static boolean canMeetTarget(DispatchRequest request, long typicalNanos, long nowNanos) {
        return request.targetNanos() - nowNanos >= MIN_SERVICE_TIME_FRACTION * typicalNanos;
    }

    /**
     * Returns whether a new call may be queued.
     *
     * @param waitNanos the expected wait
     * @param typicalNanos the typical service time
     */
    public static boolean mayQueue(DispatchRequest request, long waitNanos, long typicalNanos, long nowNanos) {
        if (cannotMeetDeadline(request, typicalNanos, nowNanos + waitNanos)) {
            return false;
        }
        return waitNanos <= waitFraction(request, nowNanos) * nanosToTargetOrDeadline(request, nowNanos);
    }

    /** Returns the time at which a call queued now is refused. */
    public static long queueDeadlineNanos(DispatchRequest request, long nowNanos) {
        return nowNanos + (long) (waitFraction(request, nowNanos) * nanosToTargetOrDeadline(request, nowNanos));
    }

    private static double waitFraction(DispatchRequest request, long nowNanos) {
        return request.targetNanos() - nowNanos > 0 ? MAX_WAIT_FRACTION : LATE_WAIT_FRACTION;
    }

    /** Returns the time to the target, or to the deadline for a call that is already late. */
    private static long nanosToTargetOrDeadline(DispatchRequest request, long nowNanos) {
        long nanosToTarget = request.targetNanos() - nowNanos;
        return Math.max(0, nanosToTarget > 0 ? nanosToTarget : request.deadlineNanos() - nowNanos);
    }
}
