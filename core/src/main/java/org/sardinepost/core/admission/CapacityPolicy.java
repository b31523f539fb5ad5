package org.sardinepost.core.admission;

import java.util.List;
import org.sardinepost.core.routing.DispatchRequest;

/** Decides which kinds of call get the capacity of a service when it does not suffice for all. */
@FunctionalInterface
public interface CapacityPolicy {
    /** Sorts groups of queued calls in place, the one to be dispatched first at the front. */
    void sort(List<CallGroup> groups);

    /** Returns the number of free slots that a call must leave for more urgent ones. */
    default int reservedSlots(DispatchRequest request, KindDemands demands, long nowNanos) {
        return 0;
    }
}
