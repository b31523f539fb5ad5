package org.sardinepost.core.routing;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/** Assigns each call to the upstream with the fewest calls in progress from this daemon. A baseline without limits. */
public final class LeastInFlightDispatcher implements Dispatcher {
    private final Map<UpstreamId, Integer> inFlight = new LinkedHashMap<>();
    private final Set<UpstreamId> leaving = new HashSet<>();

    @Override
    public synchronized CompletableFuture<Dispatch> acquire(DispatchRequest request, long nowNanos) {
        Optional<UpstreamId> selected = selectUpstream(request);
        if (selected.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new RefusedException(RefusalReason.NO_UPSTREAM, "the service has no upstream that accepts calls"));
        }
        UpstreamId upstream = selected.get();
        inFlight.merge(upstream, 1, Integer::sum);
        return CompletableFuture.completedFuture(new GrantedDispatch(upstream));
    }

    private Optional<UpstreamId> selectUpstream(DispatchRequest request) {
        return inFlight.entrySet().stream()
                .filter(entry -> !leaving.contains(entry.getKey()))
                .min(Comparator.comparing((Map.Entry<UpstreamId, Integer> entry) ->
                                request.excluded().contains(entry.getKey()))
                        .thenComparing(Map.Entry::getValue))
                .map(Map.Entry::getKey);
    }

    @Override
    public void expireQueuedCalls(long nowNanos) {
        // Calls are never queued.
    }

    @Override
    public synchronized void setUpstreams(List<Upstream> upstreams, long nowNanos) {
        List<UpstreamId> ids = upstreams.stream().map(Upstream::id).toList();
        inFlight.keySet().retainAll(ids);
        // An upstream that is added again after its removal is a restarted one.
        leaving.retainAll(ids);
        ids.forEach(id -> inFlight.putIfAbsent(id, 0));
    }

    @Override
    public synchronized void markLeaving(UpstreamId upstream, long nowNanos) {
        leaving.add(upstream);
    }

    private synchronized void release(UpstreamId upstream, DispatchResult result) {
        inFlight.computeIfPresent(upstream, (id, count) -> count - 1);
        if (result.leaving()) {
            leaving.add(upstream);
        }
    }

    private final class GrantedDispatch implements Dispatch {
        private final UpstreamId upstream;
        private boolean released;

        GrantedDispatch(UpstreamId upstream) {
            this.upstream = upstream;
        }

        @Override
        public UpstreamId upstream() {
            return upstream;
        }

        @Override
        public synchronized void complete(DispatchResult result, long nowNanos) {
            if (released) {
                return;
            }
            released = true;
            release(upstream, result);
        }
    }
}
