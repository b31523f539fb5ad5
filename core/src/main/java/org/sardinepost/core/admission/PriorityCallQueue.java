package org.sardinepost.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.sardinepost.core.routing.DispatchRequest;

/**
 * The waiting calls of one service over all daemons, ordered by what an answer is still worth.
 *
 * <p>Calls that can be answered within their target go first, the more urgent and then the earlier target before the others.
 * Late calls get a place when no such call waits. Not thread-safe.
 */
public final class PriorityCallQueue {
    private static final Comparator<DispatchRequest> URGENT_FIRST =
            Comparator.comparingInt(DispatchRequest::priority).thenComparingLong(DispatchRequest::targetNanos);

    private final List<Entry> entries = new ArrayList<>();

    public int size() {
        return entries.size();
    }

    public void add(QueuedCall call, long nowNanos) {
        entries.add(new Entry(call, nowNanos, QueueAdmissionPolicy.waitsUntilNanos(call.request(), nowNanos)));
    }

    public void remove(QueuedCall call) {
        entries.removeIf(entry -> entry.call() == call);
    }

    /**
     * The number of waiting calls that would get a place before a new one.
     *
     * @param usualNanos the usual service time of a call; 0 while it is unknown
     */
    public int ahead(DispatchRequest request, ToLongFunction<DispatchRequest> usualNanos, long nowNanos) {
        boolean onTime = QueueAdmissionPolicy.onTime(request, usualNanos.applyAsLong(request), nowNanos);
        int count = 0;
        for (Entry entry : entries) {
            DispatchRequest other = entry.call().request();
            boolean otherOnTime = QueueAdmissionPolicy.onTime(other, usualNanos.applyAsLong(other), nowNanos);
            boolean before = otherOnTime == onTime ? other.priority() <= request.priority() : otherOnTime;
            if (before) {
                count++;
            }
        }
        return count;
    }

    /**
     * The call that gets the next place.
     *
     * @param usualNanos the usual service time of a call; 0 while it is unknown
     */
    public Optional<Entry> next(ToLongFunction<DispatchRequest> usualNanos, long nowNanos) {
        Entry best = null;
        boolean bestOnTime = false;
        for (Entry entry : entries) {
            DispatchRequest request = entry.call().request();
            boolean onTime = QueueAdmissionPolicy.onTime(request, usualNanos.applyAsLong(request), nowNanos);
            boolean better = best == null
                    || (onTime && !bestOnTime)
                    || (onTime == bestOnTime
                            && URGENT_FIRST.compare(request, best.call().request()) < 0);
            if (better) {
                best = entry;
                bestOnTime = onTime;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Removes and returns the calls that waited too long or cannot be answered any more. */
    public List<QueuedCall> removeExpired(ToLongFunction<DispatchRequest> usualNanos, long nowNanos) {
        List<QueuedCall> expired = new ArrayList<>();
        Iterator<Entry> iterator = entries.iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            boolean over = entry.untilNanos() - nowNanos <= 0
                    || QueueAdmissionPolicy.hopeless(
                            entry.call().request(),
                            usualNanos.applyAsLong(entry.call().request()),
                            nowNanos);
            if (over) {
                iterator.remove();
                expired.add(entry.call());
            }
        }
        return expired;
    }

    /** Removes and returns all calls. */
    public List<QueuedCall> clear() {
        List<QueuedCall> all = entries.stream().map(Entry::call).toList();
        entries.clear();
        return all;
    }

    /**
     * A call in the queue.
     *
     * @param call the call
     * @param sinceNanos when it began to wait
     * @param untilNanos when it is refused
     */
    public record Entry(QueuedCall call, long sinceNanos, long untilNanos) {}
}
