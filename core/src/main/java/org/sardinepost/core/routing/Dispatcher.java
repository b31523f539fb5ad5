package org.sardinepost.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.admission.KindReport;

/**
 * Admits the calls of one service and assigns each to an upstream.
 *
 * <p>Implementations are thread-safe, start no threads and read no clock: the caller passes the time of a monotonic
 * clock in nanoseconds.
 */
public interface Dispatcher {
    /**
     * Requests a dispatch to an upstream; the call is queued if no upstream has capacity.
     *
     * <p>The future fails with {@link org.sardinepost.core.call.RefusedException} if the call is refused. Cancelling
     * the future removes the call from the queue.
     */
    CompletableFuture<Dispatch> acquire(DispatchRequest request, long nowNanos);

    /** Refuses the queued calls whose deadline has passed. Called on each control tick. */
    void expireQueuedCalls(long nowNanos);

    /** Replaces the set of upstreams. Calls in progress on removed upstreams continue. */
    void setUpstreams(List<Upstream> upstreams, long nowNanos);

    /**
     * Sets the number of slots of each upstream until it reports a different number. Dispatchers without limits ignore
     * it.
     */
    default void setDefaultSlots(int slotsPerUpstream, long nowNanos) {}

    /**
     * Sets the limit on measurement messages for the service per second, over all daemons. Dispatchers that do not send
     * any ignore it.
     */
    default void setMeasuringBudget(int messagesPerSecond) {}

    /**
     * Sets the rate at which cold upstreams accept calls; empty if the upstreams of the service are never cold. Called
     * before {@link #setCold}. Dispatchers that do not distinguish cold upstreams ignore it.
     */
    default void setColdRate(Optional<ColdRate> rate) {}

    /**
     * Replaces the upstreams that have just started, with the time on the monotonic clock until which each is cold.
     * Dispatchers that do not distinguish cold upstreams ignore it.
     */
    default void setCold(Map<UpstreamId, Long> coldUntilNanos, long nowNanos) {}

    /** Returns the number of cold upstreams; 0 if the dispatcher does not distinguish them. */
    default int coldUpstreams(long nowNanos) {
        return 0;
    }

    /** Returns the number of calls that were sent to cold upstreams. */
    default long callsToCold() {
        return 0;
    }

    /** Returns what became of the calls of each kind; empty if the dispatcher does not distinguish kinds. */
    default List<KindReport> kindReports(long nowNanos) {
        return List.of();
    }

    /**
     * Returns the upstreams that get only calls that no other can take, or did until recently, because they refuse calls
     * although they report free slots. Empty for dispatchers that do not distinguish them.
     */
    default Set<UpstreamId> refusingUpstreams(long nowNanos) {
        return Set.of();
    }

    /** Returns the number of calls that went to upstreams closed for their refusals. */
    default long overflowedCalls() {
        return 0;
    }

    /** Returns the number of placements with the given use of connections; 0 if the dispatcher does not count them. */
    default long placements(ConnectionUse use) {
        return 0;
    }

    /** Marks an upstream as leaving, which means that it receives no new calls. */
    void markLeaving(UpstreamId upstream, long nowNanos);
}
