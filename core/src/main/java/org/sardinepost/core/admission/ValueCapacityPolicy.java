package org.sardinepost.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinepost.core.routing.DispatchRequest;

/**
 * Gives the capacity to the calls whose responses are worth most to callers.
 *
 * <p>This is for loads above the capacity of a service that is used by calls of several priorities or service times.
 * Requests that clients send ahead on their connections come last: a client that never reads could otherwise take the place of
 * callers that wait for one response at a time. Kinds that are served less than their guaranteed share come first. Of the
 * others, more urgent calls precede less urgent ones, and of equal priority those with the earliest target come first. A call
 * that cannot meet its target precedes less urgent calls that can meet theirs only if it is worth more for the time that it
 * takes.
 *
 * <p>Slots are kept free for a kind only after some of its calls were refused, because on a service with many slots
 * one becomes free in time for almost every urgent call.
 */
public final class ValueCapacityPolicy implements CapacityPolicy {
    /** What a response after the target is worth to a caller, relative to one before it. */
    private static final double LATE_WORTH = 0.1;

    /** What a call is worth relative to one whose priority is more urgent by one. */
    static final double WORTH_PER_PRIORITY = 0.5;

    @Override
    public void sort(List<CallGroup> groups) {
        Map<CallGroup, Integer> ranks = new HashMap<>();
        groups.forEach(group -> ranks.put(group, group.late() ? lateRank(group, groups) : group.priority()));
        groups.sort(Comparator.comparing(CallGroup::sentAhead)
                .thenComparing(CallGroup::underserved, Comparator.reverseOrder())
                .thenComparingInt(ranks::get)
                .thenComparing(CallGroup::late)
                .thenComparingInt(CallGroup::priority)
                .thenComparingLong(CallGroup::firstTargetNanos));
    }

    /** Returns the least urgent priority of the groups that a group of late calls follows. */
    private static int lateRank(CallGroup late, List<CallGroup> groups) {
        int rank = late.priority();
        for (CallGroup other : groups) {
            boolean comparable = !other.late() && other.sentAhead() == late.sentAhead();
            if (comparable && other.priority() > rank && worthPerNano(other) > worthPerNano(late)) {
                rank = other.priority();
            }
        }
        return rank;
    }

    private static double worthPerNano(CallGroup group) {
        return Math.pow(WORTH_PER_PRIORITY, group.priority())
                * (group.late() ? LATE_WORTH : 1)
                / Math.max(1, group.typicalNanos());
    }

    @Override
    public int reservedSlots(DispatchRequest request, KindDemands demands, long nowNanos) {
        KindDemand own = demands.of(request.kind(), request.priority());
        double slots = 0;
        for (KindDemand demand : demands.all()) {
            if (demand.priority() < own.priority() && UrgencyGuarantee.mayNeedSlots(demand, nowNanos)) {
                slots = Math.max(slots, UrgencyGuarantee.heldSlots(demand, own, nowNanos));
            }
        }
        return (int) Math.round(slots);
    }
}
