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

/** Grants every call at once to the server that a choice function names. */
final class BaselineDispatcher implements Dispatcher {
    private static final int RETRIED_CHOICES = 8;

    private final ToIntFunction<BaselineDispatcher> choice;
    private final int[] inFlight;
    private List<Upstream> upstreams = List.of();

    BaselineDispatcher(int servers, ToIntFunction<BaselineDispatcher> choice) {
        this.choice = choice;
        this.inFlight = new int[servers];
    }

    int size() {
        return upstreams.size();
    }

    /** The server number of a listed upstream. */
    int server(int position) {
        return Deployment.server(upstreams.get(position).id());
    }

    int inFlight(int server) {
        return inFlight[server];
    }

    @Override
    public CompletableFuture<Dispatch> acquire(DispatchRequest request, long nowNanos) {
        UpstreamId id = upstreams.get(choice.applyAsInt(this)).id();
        for (int i = 0; i < RETRIED_CHOICES && request.excluded().contains(id); i++) {
            id = upstreams.get(choice.applyAsInt(this)).id();
        }
        inFlight[Deployment.server(id)]++;
        return CompletableFuture.completedFuture(new Place(id));
    }

    @Override
    public void expire(long nowNanos) {
        // Nothing waits here.
    }

    @Override
    public void update(List<Upstream> values, long nowNanos) {
        upstreams = values;
    }

    @Override
    public void markLeaving(UpstreamId upstream, long nowNanos) {
        // No scenario has leaving servers.
    }

    private final class Place implements Dispatch {
        private final UpstreamId id;

        Place(UpstreamId id) {
            this.id = id;
        }

        @Override
        public UpstreamId upstream() {
            return id;
        }

        @Override
        public void finished(DispatchResult result, long nowNanos) {
            inFlight[Deployment.server(id)]--;
        }
    }
}
