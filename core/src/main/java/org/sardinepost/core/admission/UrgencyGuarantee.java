package org.sardinepost.core.admission;

import java.time.Duration;

/**
 * Decides how many slots the calls of a less urgent kind leave free for those of a more urgent one.
 *
 * <p>This is for services with few slots, long calls that are less urgent, and urgent calls with targets that are shorter
 * than the long calls. The long calls can be queued until a slot becomes free and the urgent ones cannot, so that
 * without free slots the urgent ones are refused more often.
 *
 * <p>{@link KindDemand} reserves slots according to the refused calls of a kind, which suffices if it has many. For a
 * kind with few calls, the reserve decays before the next call arrives, so that one slot is held as long as the kind is
 * refused more often. A held slot is idle until an urgent call takes it. It is held only if an urgent call is expected to
 * arrive in the time for which the less urgent call would occupy it, and if the urgent calls that it serves are worth more
 * than the less urgent calls in their place.
 */
final class UrgencyGuarantee {
    /** A more urgent kind should not be served less often than a less urgent one by more than 5 in 100. */
    static final double TOLERATED_MISSES = 0.05;

    /** Long enough that a kind with one call a second shows whether more than 5 in 100 are refused. */
    static final long WINDOW_NANOS = Duration.ofSeconds(5).toNanos();

    /** Below this number of calls in the window, the refused part of a kind is unknown. */
    private static final double MIN_CALLS = 3;

    /** Fewer refused calls reserve no slot. */
    private static final double MIN_MISSED = 0.05;

    /**
     * Part of the refused attempts that a held slot would serve: callers repeat a refused call once as a rule, and the host of
     * a held slot is slowed for up to a third of the time.
     */
    private static final double SERVED_BY_HELD_SLOT = 0.3;

    /** Holding as many slots as urgent calls use at a time served no more of them in the replays. */
    private static final double SLOTS_WHILE_VIOLATED = 1;

    private UrgencyGuarantee() {}

    /**
     * Returns whether other kinds may have to leave slots free for a kind. It saves the comparison of each pair of kinds, of
     * which few are refused.
     */
    static boolean mayNeedSlots(KindDemand urgent, long nowNanos) {
        return urgent.missedInWindow(nowNanos) >= MIN_MISSED;
    }

    /** Returns the number of slots that calls of a kind leave free for a more urgent one. */
    static double heldSlots(KindDemand urgent, KindDemand other, long nowNanos) {
        double missed = urgent.missedInWindow(nowNanos);
        double held = urgent.reservedSlots(nowNanos);
        if (isViolated(urgent, other, nowNanos) && callsDuringOther(urgent, other, nowNanos) >= 1) {
            held = Math.max(held, Math.min(SLOTS_WHILE_VIOLATED, worthwhileSlots(missed, urgent, other)));
        }
        return held;
    }

    /** Returns whether an urgent kind is refused more often than another by more than the tolerated part. */
    private static boolean isViolated(KindDemand urgent, KindDemand other, long nowNanos) {
        return calls(urgent, nowNanos) >= MIN_CALLS
                && calls(other, nowNanos) >= MIN_CALLS
                && missedPart(urgent, nowNanos) > missedPart(other, nowNanos) + TOLERATED_MISSES;
    }

    /** Returns the number of urgent calls that are expected to arrive while a call of another kind occupies a slot. */
    private static double callsDuringOther(KindDemand urgent, KindDemand other, long nowNanos) {
        return calls(urgent, nowNanos) * other.serviceNanos() / WINDOW_NANOS;
    }

    private static double calls(KindDemand kind, long nowNanos) {
        return kind.dispatchedInWindow(nowNanos) + kind.missedInWindow(nowNanos);
    }

    private static double missedPart(KindDemand kind, long nowNanos) {
        return kind.missedInWindow(nowNanos) / calls(kind, nowNanos);
    }

    /**
     * Returns the number of slots whose less urgent calls are worth as much as the urgent calls that they would serve. A slot
     * that was always held for one urgent call a second served 2 in 100 of them more, and 18 in 100 calls of 475 ms less.
     */
    private static double worthwhileSlots(double missed, KindDemand urgent, KindDemand other) {
        double worth = Math.pow(ValueCapacityPolicy.WORTH_PER_PRIORITY, urgent.priority() - other.priority());
        return SERVED_BY_HELD_SLOT * missed * worth * other.serviceNanos() / WINDOW_NANOS;
    }
}
