package org.sardinepost.core.admission;

import java.util.Comparator;
import java.util.Iterator;
import java.util.TreeSet;
import org.sardinepost.core.admission.PriorityCallQueue.Entry;

/**
 * Queued calls of one kind and priority that all can, or all cannot, meet their target.
 *
 * <p>They are served in the order of their arrival, so that a repeated call is not served before the first attempt of
 * another client. Not thread-safe.
 */
public final class CallGroup {
    /**
     * Identifies a group.
     *
     * @param late whether the calls could no longer meet their target when they were queued
     * @param sentAhead whether their clients still wait for earlier responses on the same connection
     */
    record Key(String kind, int priority, boolean late, boolean sentAhead) {}

    private final Key key;
    private final TreeSet<Entry> entries = new TreeSet<>(Comparator.comparingLong(Entry::sequence));
    private long typicalNanos;
    private double dispatched;
    private boolean underserved;

    CallGroup(Key key) {
        this.key = key;
    }

    Key key() {
        return key;
    }

    public int priority() {
        return key.priority();
    }

    /** Returns whether the calls cannot meet their target, so that a response is worth less. */
    public boolean late() {
        return key.late();
    }

    /** Returns whether the clients still wait for earlier responses on the same connection. */
    public boolean sentAhead() {
        return key.sentAhead();
    }

    /** Returns the typical service time of the calls, or the mean of the service while it is unknown. */
    public long typicalNanos() {
        return typicalNanos;
    }

    /** Returns the number of calls of this kind that were dispatched recently. */
    public double dispatched() {
        return dispatched;
    }

    /** Returns whether the kind is served less than its guaranteed share. */
    public boolean underserved() {
        return underserved;
    }

    /** Returns the earliest target of the calls; the latest possible time if there are none. */
    public long firstTargetNanos() {
        return entries.isEmpty()
                ? Long.MAX_VALUE
                : entries.first().call().request().targetNanos();
    }

    /** Updates what the order of the groups depends on. */
    void update(long newTypicalNanos, KindDemands demands, double guaranteedShare, long nowNanos) {
        KindDemand demand = demands.of(key.kind(), key.priority());
        typicalNanos = newTypicalNanos;
        dispatched = demand.dispatched(nowNanos);
        underserved = !key.late() && !key.sentAhead() && demand.underserved(guaranteedShare, nowNanos);
    }

    void add(Entry entry) {
        entries.add(entry);
    }

    void remove(Entry entry) {
        entries.remove(entry);
    }

    int size() {
        return entries.size();
    }

    /** Returns the call to dispatch first. */
    public Entry first() {
        return entries.first();
    }

    Entry last() {
        return entries.last();
    }

    Iterator<Entry> iterator() {
        return entries.iterator();
    }

    /** Returns the expected processing time of the calls. */
    long workNanos() {
        return entries.size() * typicalNanos;
    }
}
