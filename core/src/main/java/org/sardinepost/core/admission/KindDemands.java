package org.sardinepost.core.admission;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.sardinepost.core.routing.DispatchRequest;

/** The demand for each kind of call of one service, and how much of it is served. Not thread-safe. */
public final class KindDemands {
    /** Configuration changes keep replacing routes; the least recently used kinds are evicted. */
    private static final int MAX_KINDS = 1_000;

    /** Part of its time to the target that a first attempt may take to arrive: 6 ms of the shortest target in use. */
    private static final double FIRST_ATTEMPT_WAIT = 0.02;

    /** A kind must not be served less than a quarter as often as all calls. */
    private static final double GUARANTEED_SHARE = 0.25;

    private final PriorWaitEstimator waits = new PriorWaitEstimator();

    private record Key(String kind, int priority) {}

    private final Map<Key, KindDemand> byKey = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, KindDemand> eldest) {
            return size() > MAX_KINDS;
        }
    };

    /**
     * Records a call that arrived. Repeated calls are no further demand, nor are those sent ahead, which have no guaranteed share.
     *
     * @param serviceNanos the mean time for which a call of the kind takes a slot
     */
    public void recordArrival(DispatchRequest request, long serviceNanos, long nowNanos) {
        KindDemand demand = of(request.kind(), request.priority());
        demand.setServiceNanos(serviceNanos);
        if (!request.sentAhead() && !isRepeated(request, nowNanos)) {
            demand.recordArrival(nowNanos);
        }
    }

    public void recordDispatch(DispatchRequest request, long nowNanos) {
        KindDemand demand = of(request.kind(), request.priority());
        if (request.sentAhead()) {
            demand.recordDispatchSentAhead();
        } else {
            demand.recordDispatch(nowNanos);
        }
    }

    /** Records a call that was refused although it could have met its target. */
    public void recordMiss(DispatchRequest request, long nowNanos) {
        if (!request.sentAhead() && request.targetNanos() - nowNanos > 0) {
            of(request.kind(), request.priority()).recordMiss(nowNanos);
        }
    }

    /** Records a queued call that was refused because of more urgent ones. */
    public void recordDisplaced(DispatchRequest request, long nowNanos) {
        of(request.kind(), request.priority()).recordDisplaced(nowNanos);
    }

    /** Records a call that was refused on arrival. */
    public void recordRefusedAtOnce(DispatchRequest request) {
        of(request.kind(), request.priority()).recordRefusedAtOnce();
    }

    /** Records a call that was refused after it was queued, but not displaced. */
    public void recordRefusedAfterWait(DispatchRequest request) {
        of(request.kind(), request.priority()).recordRefusedAfterWait();
    }

    /** Returns what became of the calls of each kind that is known. */
    public List<KindReport> reports(PriorityCallQueue queue, long nowNanos) {
        double guaranteedShare = guaranteedShare(nowNanos);
        return byKey.entrySet().stream()
                .map(entry -> entry.getValue()
                        .report(
                                entry.getKey().kind(),
                                queue.size(entry.getKey().kind(), entry.getKey().priority()),
                                slotsHeldFree(entry.getValue(), nowNanos),
                                guaranteedShare,
                                nowNanos))
                .toList();
    }

    private int slotsHeldFree(KindDemand urgent, long nowNanos) {
        if (!UrgencyGuarantee.mayNeedSlots(urgent, nowNanos)) {
            return 0;
        }
        double slots = 0;
        for (KindDemand other : all()) {
            if (urgent.priority() < other.priority()) {
                slots = Math.max(slots, UrgencyGuarantee.heldSlots(urgent, other, nowNanos));
            }
        }
        return (int) Math.round(slots);
    }

    /** Returns the share of its calls of which at least as many should be dispatched for every kind. */
    double guaranteedShare(long nowNanos) {
        return GUARANTEED_SHARE * dispatchedShare(nowNanos);
    }

    /** Returns whether the caller has probably made the same call before. */
    boolean isRepeated(DispatchRequest request, long nowNanos) {
        long remainingNanos = request.targetNanos() - nowNanos;
        long waitedNanos = waits.estimateNanos(request.kind(), remainingNanos, nowNanos);
        return waitedNanos > FIRST_ATTEMPT_WAIT * (remainingNanos + waitedNanos);
    }

    KindDemand of(String kind, int priority) {
        return byKey.computeIfAbsent(new Key(kind, priority), key -> new KindDemand(priority));
    }

    Collection<KindDemand> all() {
        return byKey.values();
    }

    /** Returns the share of all calls that is dispatched; 1 without calls. */
    private double dispatchedShare(long nowNanos) {
        double arrived = sum(demand -> demand.arrived(nowNanos));
        return arrived == 0 ? 1 : sum(demand -> demand.dispatched(nowNanos)) / arrived;
    }

    private double sum(ToDoubleFunction<KindDemand> value) {
        return byKey.values().stream().mapToDouble(value).sum();
    }
}
