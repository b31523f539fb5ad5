package org.sardinepost.core.admission;

import java.time.Duration;

/** The calls of one kind and priority that arrived, and those that were dispatched. Not thread-safe. */
final class KindDemand {
    /** Long enough that the share of a kind with one call a second is known to within a third. */
    private static final long SHARE_WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    /** Three refused calls within the time constant show that one slot more is needed. */
    private static final double SLOTS_PER_MISS = 1.0 / 3;

    /** Releases the slots within seconds after the end of a burst. */
    private static final long RESERVED_TIME_CONSTANT_NANOS =
            Duration.ofSeconds(2).toNanos();

    /** Below this number of recent calls the share of a kind is unknown. */
    private static final double MIN_CALLS = 3;

    private final int priority;
    private final DecayingCount arrived = new DecayingCount(SHARE_WINDOW_NANOS);
    private final DecayingCount dispatched = new DecayingCount(SHARE_WINDOW_NANOS);
    private final DecayingCount reservedSlots = new DecayingCount(RESERVED_TIME_CONSTANT_NANOS);
    private final DecayingCount guaranteeDispatched = new DecayingCount(UrgencyGuarantee.WINDOW_NANOS);
    private final DecayingCount guaranteeMissed = new DecayingCount(UrgencyGuarantee.WINDOW_NANOS);
    private final DecayingCount displacedRecently = new DecayingCount(SHARE_WINDOW_NANOS);
    private long serviceNanos;
    private long dispatchedTotal;
    private long displacedTotal;
    private long refusedAtOnceTotal;
    private long refusedAfterWaitTotal;

    KindDemand(int priority) {
        this.priority = priority;
    }

    void recordArrival(long nowNanos) {
        arrived.increment(nowNanos);
    }

    void setServiceNanos(long value) {
        serviceNanos = value;
    }

    void recordDispatch(long nowNanos) {
        dispatchedTotal++;
        guaranteeDispatched.increment(nowNanos);
        dispatched.increment(nowNanos);
        reservedSlots.add(-SLOTS_PER_MISS * UrgencyGuarantee.TOLERATED_MISSES, nowNanos);
    }

    /** Records the dispatch of a call that is no demand. */
    void recordDispatchSentAhead() {
        dispatchedTotal++;
    }

    /** Records a call that was refused although it could have met its target. */
    void recordMiss(long nowNanos) {
        guaranteeMissed.increment(nowNanos);
        reservedSlots.add(SLOTS_PER_MISS, nowNanos);
    }

    void recordDisplaced(long nowNanos) {
        displacedTotal++;
        displacedRecently.increment(nowNanos);
    }

    void recordRefusedAtOnce() {
        refusedAtOnceTotal++;
    }

    void recordRefusedAfterWait() {
        refusedAfterWaitTotal++;
    }

    /** Returns whether the kind is dispatched less often than a share of its calls. */
    boolean underserved(double guaranteedShare, long nowNanos) {
        return dispatched(nowNanos) < guaranteedShare * arrived(nowNanos);
    }

    KindReport report(String kind, int queued, int slotsHeldFree, double guaranteedShare, long nowNanos) {
        return new KindReport(
                kind,
                priority,
                queued,
                dispatchedTotal,
                displacedTotal,
                refusedAtOnceTotal,
                refusedAfterWaitTotal,
                (int) Math.round(displacedRecently.value(nowNanos)),
                slotsHeldFree,
                arrived(nowNanos) >= MIN_CALLS && underserved(guaranteedShare, nowNanos));
    }

    /**
     * Returns the number of slots that less urgent calls must leave free so that few calls of this kind are refused.
     * It settles where the tolerated part of them is.
     */
    double reservedSlots(long nowNanos) {
        return reservedSlots.value(nowNanos);
    }

    /** Returns the calls that were dispatched within about the window of the guarantee. */
    double dispatchedInWindow(long nowNanos) {
        return guaranteeDispatched.value(nowNanos);
    }

    /** Returns the calls that were refused within about the window of the guarantee. */
    double missedInWindow(long nowNanos) {
        return guaranteeMissed.value(nowNanos);
    }

    /** Returns the mean time for which a call takes a slot. */
    long serviceNanos() {
        return serviceNanos;
    }

    int priority() {
        return priority;
    }

    double arrived(long nowNanos) {
        return arrived.value(nowNanos);
    }

    double dispatched(long nowNanos) {
        return dispatched.value(nowNanos);
    }
}
