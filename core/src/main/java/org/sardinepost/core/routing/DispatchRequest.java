package org.sardinepost.core.routing;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The properties of a call that a dispatcher uses.
 *
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 * @param depth number of nested calls above this one; 0 for a call from outside
 * @param bodyBytes size of the request body, which is held in memory while the call is queued
 * @param excluded upstreams that already failed this call; used only if no other upstream is available
 * @param targetNanos the end of the latency target, on the monotonic clock; later responses are worth less to the
 *     caller
 * @param priority the priority among the calls of the service; 0 is the most urgent
 * @param origin the daemon that sends the call
 * @param kind identifies calls with similar service times, for example by their route
 * @param closedUntilNanos the upstreams that accept no calls of the origin, and until when on the monotonic clock
 * @param sentAhead whether the client sent the request before the response to an earlier one of its connection
 */
public record DispatchRequest(
        long deadlineNanos,
        int depth,
        long bodyBytes,
        Set<UpstreamId> excluded,
        long targetNanos,
        int priority,
        Origin origin,
        String kind,
        Map<UpstreamId, Long> closedUntilNanos,
        boolean sentAhead) {
    /** Creates a request whose latency target equals its deadline. */
    public DispatchRequest(long deadlineNanos, int depth, long bodyBytes, Set<UpstreamId> excluded) {
        this(deadlineNanos, depth, bodyBytes, excluded, deadlineNanos, 0, Origin.unknown(), "");
    }

    /** Creates a request to which every upstream is open. */
    public DispatchRequest(
            long deadlineNanos,
            int depth,
            long bodyBytes,
            Set<UpstreamId> excluded,
            long targetNanos,
            int priority,
            Origin origin,
            String kind) {
        this(deadlineNanos, depth, bodyBytes, excluded, targetNanos, priority, origin, kind, Map.of(), false);
    }

    public DispatchRequest {
        Objects.requireNonNull(excluded);
        Objects.requireNonNull(origin);
        Objects.requireNonNull(kind);
        excluded = Set.copyOf(excluded);
        closedUntilNanos = Map.copyOf(closedUntilNanos);
    }

    /** Returns a copy with other closed upstreams. */
    public DispatchRequest withClosed(Map<UpstreamId, Long> untilNanos) {
        return new DispatchRequest(
                deadlineNanos, depth, bodyBytes, excluded, targetNanos, priority, origin, kind, untilNanos, sentAhead);
    }

    /** Returns a copy that states whether the request was sent ahead. */
    public DispatchRequest withSentAhead(boolean value) {
        return new DispatchRequest(
                deadlineNanos,
                depth,
                bodyBytes,
                excluded,
                targetNanos,
                priority,
                origin,
                kind,
                closedUntilNanos,
                value);
    }

    /**
     * Returns whether a result recorded now says nothing about its upstream. The daemon of the caller ends the call at its
     * deadline, so a response or cancellation that is recorded later was delayed on its way, or this process was paused.
     */
    boolean isDelayed(DispatchResult result, long nowNanos) {
        boolean mayBeDelayed =
                result.kind() == DispatchResult.Kind.ANSWERED || result.kind() == DispatchResult.Kind.CANCELLED;
        return mayBeDelayed && deadlineNanos - nowNanos < 0;
    }

    boolean isClosed(UpstreamId upstream, long nowNanos) {
        Long untilNanos = closedUntilNanos.get(upstream);
        return untilNanos != null && untilNanos - nowNanos > 0;
    }
}
