package org.sardinepost.core.routing;

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
 */
public record DispatchRequest(
        long deadlineNanos,
        int depth,
        long bodyBytes,
        Set<UpstreamId> excluded,
        long targetNanos,
        int priority,
        Origin origin,
        String kind) {
    /** Creates a request whose latency target equals its deadline. */
    public DispatchRequest(long deadlineNanos, int depth, long bodyBytes, Set<UpstreamId> excluded) {
        this(deadlineNanos, depth, bodyBytes, excluded, deadlineNanos, 0, Origin.unknown(), "");
    }

    public DispatchRequest {
        Objects.requireNonNull(excluded);
        Objects.requireNonNull(origin);
        Objects.requireNonNull(kind);
        excluded = Set.copyOf(excluded);
    }
}
