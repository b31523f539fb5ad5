package org.sardinepost.core.routing;

import java.util.Objects;
import java.util.Set;

/**
 * What a dispatcher needs to know of a call.
 *
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 * @param depth levels of calls above this one; 0 at the edge
 * @param bodyBytes size of the request body held while the call waits
 * @param excluded upstreams that already failed this call; used only if no other is left
 */
public record DispatchRequest(long deadlineNanos, int depth, long bodyBytes, Set<UpstreamId> excluded) {
    public DispatchRequest {
        Objects.requireNonNull(excluded);
        excluded = Set.copyOf(excluded);
    }
}
