package org.sardinepost.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.sardinepost.core.routing.DispatchRequest;

/**
 * The queued calls of one service from all daemons, ordered by the remaining value of a response.
 *
 * <p>Calls that can meet their target are dispatched first, ordered by priority and then by target. Late calls are
 * dispatched only when no such call is queued. Not thread-safe.
 */
public final class PriorityCallQueue {
    private static final Comparator<DispatchRequest> MOST_URGENT_FIRST =
            Comparator.comparingInt(DispatchRequest::priority).thenComparingLong(DispatchRequest::targetNanos);

    private final List<Entry> entries = new ArrayList<>();

    public int size() {
        return entries.size();
    }

    public void add(QueuedCall call, long nowNanos) {
        entries.add(new Entry(call, nowNanos, QueueAdmissionPolicy.queueDeadlineNanos(call.request(), nowNanos)));
    }

    public void remove(QueuedCall call) {
        entries.removeIf(entry -> entry.call() == call);
    }

    public boolean anyMatch(Predicate<DispatchRequest> predicate) {
        return entries.stream().anyMatch(entry -> predicate.test(entry.call().request()));
    }

    /**
     * Returns the number of queued calls that would be dispatched before a new one.
     *
     * @param typicalNanos the typical service time of a call; 0 while it is unknown
     */
    public int callsAhead(QueuedCall call, ToLongFunction<QueuedCall> typicalNanos, long nowNanos) {
        DispatchRequest request = call.request();
        boolean canMeetTarget = QueueAdmissionPolicy.canMeetTarget(request, typicalNanos.applyAsLong(call), nowNanos);
        int count = 0;
        for (Entry entry : entries) {
            DispatchRequest other = entry.call().request();
            boolean otherCanMeetTarget =
                    QueueAdmissionPolicy.canMeetTarget(other, typicalNanos.applyAsLong(entry.call()), nowNanos);
            boolean isAhead =
                    otherCanMeetTarget == canMeetTarget ? other.priority() <= request.priority() : otherCanMeetTarget;
            if (isAhead) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the call to dispatch next.
     *
     * @param blocked calls that cannot be dispatched now
     * @param typicalNanos the typical service time of a call; 0 while it is unknown
     */
    public Optional<Entry> next(Set<QueuedCall> blocked, ToLongFunction<QueuedCall> typicalNanos, long nowNanos) {
        Entry best = null;
        boolean bestCanMeetTarget = false;
        for (Entry entry : entries) {
            if (blocked.contains(entry.call())) {
                continue;
            }
            DispatchRequest request = entry.call().request();
            boolean canMeetTarget =
                    QueueAdmissionPolicy.canMeetTarget(request, typicalNanos.applyAsLong(entry.call()), nowNanos);
            boolean isBetter = best == null
                    || (canMeetTarget && !bestCanMeetTarget)
                    || (canMeetTarget == bestCanMeetTarget
                            && MOST_URGENT_FIRST.compare(request, best.call().request()) < 0);
            if (isBetter) {
                best = entry;
                bestCanMeetTarget = canMeetTarget;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Removes and returns the calls that were queued for too long or can no longer meet their deadline. */
    public List<QueuedCall> removeExpired(ToLongFunction<QueuedCall> typicalNanos, long nowNanos) {
        List<QueuedCall> expiredCalls = new ArrayList<>();
        Iterator<Entry> iterator = entries.iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            boolean expired = entry.queueDeadlineNanos() - nowNanos <= 0
                    || QueueAdmissionPolicy.cannotMeetDeadline(
                            entry.call().request(), typicalNanos.applyAsLong(entry.call()), nowNanos);
            if (expired) {
                iterator.remove();
                expiredCalls.add(entry.call());
            }
        }
        return expiredCalls;
    }

    /**
     * A queued call.
     *
     * @param call the call
     * @param queuedNanos when it was queued
     * @param queueDeadlineNanos when it is refused
     */
    public record Entry(QueuedCall call, long queuedNanos, long queueDeadlineNanos) {}
}
