package org.sardinepost.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import org.sardinepost.core.routing.DispatchRequest;

/**
 * The queued calls of one service from all daemons, in the order of a {@link CapacityPolicy}.
 *
 * <p>Calls are kept in groups of equal rank, so that the time of an operation depends on the number of kinds and not on
 * the number of queued calls. Not thread-safe.
 */
public final class PriorityCallQueue {
    /** The order of the groups changes with averages over seconds. */
    private static final long SORT_INTERVAL_NANOS = Duration.ofMillis(8).toNanos();

    /** Bounds the memory and, with {@link CallGroup}, the time of an operation; the largest fleet queues about 3,000. */
    private static final int MAX_CALLS = 10_000;

    private static final Comparator<Entry> FIRST_EXPIRED =
            Comparator.comparingLong(Entry::expiryNanos).thenComparingLong(Entry::sequence);

    private final CapacityPolicy policy;
    private final ServiceTimeEstimator serviceTimes;
    private final KindDemands demands;
    private final Map<CallGroup.Key, CallGroup> groups = new HashMap<>();
    private final List<CallGroup> ordered = new ArrayList<>();
    private final Map<QueuedCall, Entry> entries = new HashMap<>();
    private final TreeSet<Entry> byExpiry = new TreeSet<>(FIRST_EXPIRED);
    private long sequence;
    private long sortedNanos;
    private int restrictedCalls;

    public PriorityCallQueue(CapacityPolicy policy, ServiceTimeEstimator serviceTimes, KindDemands demands) {
        this.policy = policy;
        this.serviceTimes = serviceTimes;
        this.demands = demands;
    }

    public int size() {
        return entries.size();
    }

    /** Returns the number of queued calls of a kind and priority. */
    int size(String kind, int priority) {
        return size(kind, priority, false) + size(kind, priority, true);
    }

    private int size(String kind, int priority, boolean sentAhead) {
        return size(new CallGroup.Key(kind, priority, false, sentAhead))
                + size(new CallGroup.Key(kind, priority, true, sentAhead));
    }

    private int size(CallGroup.Key key) {
        CallGroup group = groups.get(key);
        return group == null ? 0 : group.size();
    }

    /** Returns whether upstreams are closed to any of the queued calls. */
    public boolean hasRestrictedCalls() {
        return restrictedCalls > 0;
    }

    public void add(QueuedCall call, long nowNanos) {
        DispatchRequest request = call.request();
        CallGroup group = group(call, nowNanos);
        long expiryNanos = Math.min(
                QueueAdmissionPolicy.queueDeadlineNanos(request, nowNanos),
                QueueAdmissionPolicy.lastStartNanos(request, typicalNanos(call)));
        Entry entry = new Entry(call, nowNanos, expiryNanos, sequence++, group);
        entries.put(call, entry);
        byExpiry.add(entry);
        group.add(entry);
        restrictedCalls += request.closedUntilNanos().isEmpty() ? 0 : 1;
    }

    public void remove(QueuedCall call) {
        Entry entry = entries.remove(call);
        if (entry != null) {
            byExpiry.remove(entry);
            entry.group().remove(entry);
            restrictedCalls -= call.request().closedUntilNanos().isEmpty() ? 0 : 1;
        }
    }

    /** Returns the queued calls that would be dispatched before a new one. */
    public Backlog ahead(QueuedCall call, long nowNanos) {
        if (entries.isEmpty()) {
            return Backlog.EMPTY;
        }
        CallGroup own = group(call, nowNanos);
        int calls = 0;
        long workNanos = 0;
        for (CallGroup group : ordered) {
            calls += group.size();
            workNanos += group.workNanos();
            if (group == own) {
                break;
            }
        }
        return new Backlog(calls, workNanos);
    }

    /**
     * Returns the call to dispatch next.
     *
     * @param mayStart whether calls of a group may start now
     * @param blocked calls that cannot be dispatched now
     */
    public Optional<Entry> next(Predicate<CallGroup> mayStart, Set<QueuedCall> blocked, long nowNanos) {
        if (entries.isEmpty()) {
            return Optional.empty();
        }
        sortIfDue(nowNanos);
        for (CallGroup group : ordered) {
            if (group.size() == 0 || !mayStart.test(group)) {
                continue;
            }
            Iterator<Entry> iterator = group.iterator();
            while (iterator.hasNext()) {
                Entry entry = iterator.next();
                if (!blocked.contains(entry.call())) {
                    return Optional.of(entry);
                }
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the calls that were queued for too long or can no longer meet their deadline. */
    public List<QueuedCall> removeExpired(long nowNanos) {
        List<QueuedCall> expired = new ArrayList<>(0);
        while (!byExpiry.isEmpty() && byExpiry.first().expiryNanos() - nowNanos <= 0) {
            QueuedCall call = byExpiry.first().call();
            remove(call);
            expired.add(call);
        }
        return expired;
    }

    /**
     * Removes and returns the calls behind a new one that can no longer start in time because of it.
     *
     * @param waitNanos the expected wait of a call, given the processing time of all queued calls up to it
     */
    public List<QueuedCall> removeDisplaced(QueuedCall added, LongUnaryOperator waitNanos, long nowNanos) {
        List<QueuedCall> displaced = new ArrayList<>(0);
        CallGroup own = entries.get(added).group();
        long workNanos = 0;
        boolean behind = false;
        for (CallGroup group : ordered) {
            while (behind
                    && group.size() > 0
                    && waitNanos.applyAsLong(workNanos + group.workNanos())
                            > group.last().expiryNanos() - nowNanos) {
                QueuedCall call = group.last().call();
                remove(call);
                displaced.add(call);
            }
            workNanos += group.workNanos();
            behind |= group == own;
        }
        return displaced;
    }

    /**
     * Returns the first call of the most urgent group of which not every call can start in time.
     *
     * @param waitNanos the expected wait of a call, given the processing time of all queued calls up to it
     */
    public Optional<Entry> firstTooLate(LongUnaryOperator waitNanos, long nowNanos) {
        long workNanos = 0;
        for (CallGroup group : ordered) {
            workNanos += group.workNanos();
            if (group.size() > 0
                    && waitNanos.applyAsLong(workNanos) > group.last().expiryNanos() - nowNanos) {
                return Optional.of(group.first());
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the call that would be dispatched last if too many are queued. */
    public Optional<QueuedCall> removeExcess() {
        if (entries.size() <= MAX_CALLS) {
            return Optional.empty();
        }
        for (int i = ordered.size() - 1; i >= 0; i--) {
            if (ordered.get(i).size() > 0) {
                QueuedCall call = ordered.get(i).last().call();
                remove(call);
                return Optional.of(call);
            }
        }
        return Optional.empty();
    }

    private CallGroup group(QueuedCall call, long nowNanos) {
        DispatchRequest request = call.request();
        boolean late = !QueueAdmissionPolicy.canMeetTarget(request, typicalNanos(call), nowNanos);
        CallGroup.Key key = new CallGroup.Key(request.kind(), request.priority(), late, request.sentAhead());
        CallGroup group = groups.get(key);
        if (group != null) {
            sortIfDue(nowNanos);
            return group;
        }
        CallGroup created = new CallGroup(key);
        groups.values().removeIf(other -> other.size() == 0);
        groups.put(key, created);
        sort(nowNanos);
        return created;
    }

    private long typicalNanos(QueuedCall call) {
        return call.serviceTimeTrial()
                ? 0
                : serviceTimes.typicalNanos(call.request().kind());
    }

    private void sortIfDue(long nowNanos) {
        if (nowNanos - sortedNanos >= SORT_INTERVAL_NANOS) {
            sort(nowNanos);
        }
    }

    private void sort(long nowNanos) {
        sortedNanos = nowNanos;
        double guaranteedShare = demands.guaranteedShare(nowNanos);
        ordered.clear();
        for (CallGroup group : groups.values()) {
            group.update(serviceTimes.workNanos(group.key().kind()), demands, guaranteedShare, nowNanos);
            ordered.add(group);
        }
        policy.sort(ordered);
    }

    /**
     * Calls that are queued.
     *
     * @param calls their number
     * @param workNanos their expected processing time
     */
    public record Backlog(int calls, long workNanos) {
        static final Backlog EMPTY = new Backlog(0, 0);
    }

    /**
     * A queued call.
     *
     * @param call the call
     * @param queuedNanos when it was queued
     * @param expiryNanos when it is refused
     * @param sequence the number of calls that were queued before it
     * @param group the calls of equal rank
     */
    public record Entry(QueuedCall call, long queuedNanos, long expiryNanos, long sequence, CallGroup group) {}
}
