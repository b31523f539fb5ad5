package org.sardinepost.bench.policies;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToIntFunction;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** Dispatches every call immediately to the upstream that a selection function returns. */
final class BaselineDispatcher implements Dispatcher {
    private static final int MAX_RESELECTIONS = 8;

    private final ToIntFunction<BaselineDispatcher> selector;
    private final int[] inFlight;
    private List<Upstream> upstreams = List.of();

    BaselineDispatcher(int servers, ToIntFunction<BaselineDispatcher> selector) {
        this.selector = selector;
        this.inFlight = new int[servers];
    }

    int upstreamCount() {
        return upstreams.size();
    }

    /** Returns the index of the server at a position of the upstream list. */
    int serverIndex(int position) {
        return Deployment.serverIndex(upstreams.get(position).id());
    }

    int inFlight(int serverIndex) {
        return inFlight[serverIndex];
    }

    @Override
    public CompletableFuture<Dispatch> acquire(DispatchRequest request, long nowNanos) {
        UpstreamId id = upstreams.get(selector.applyAsInt(this)).id();
        for (int i = 0; i < MAX_RESELECTIONS && request.excluded().contains(id); i++) {
            id = upstreams.get(selector.applyAsInt(this)).id();
        }
        inFlight[Deployment.serverIndex(id)]++;
        return CompletableFuture.completedFuture(new ImmediateDispatch(id));
    }

    @Override
    public void expireQueuedCalls(long nowNanos) {
        // This dispatcher has no queue.
    }

    @Override
    public void setUpstreams(List<Upstream> newUpstreams, long nowNanos) {
        upstreams = newUpstreams;
    }

    @Override
    public void markLeaving(UpstreamId upstream, long nowNanos) {
        // No scenario contains leaving servers.
    }

    private final class ImmediateDispatch implements Dispatch {
        private final UpstreamId id;

        ImmediateDispatch(UpstreamId id) {
            this.id = id;
        }

        @Override
        public UpstreamId upstream() {
            return id;
        }

        @Override
        public void complete(DispatchResult result, long nowNanos) {
            inFlight[Deployment.serverIndex(id)]--;
        }
    }
}
