package org.sardinepost.daemon.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.PlaceEnd;
import org.sardinepost.peer.generated.PlaceRequest;

/** Grants dispatches to calls of other daemons. Only the control thread changes the state; metrics read its size. */
final class PlacementServer {
    private final Function<String, Optional<TimedCentralDispatcher>> dispatchers;
    private final PlacementPeers peers;
    private final Executor control;
    private final LongSupplier nanoClock;
    private final Map<CallKey, CompletableFuture<Dispatch>> calls = new ConcurrentHashMap<>();

    /**
     * Creates a server without calls.
     *
     * @param dispatchers returns the dispatcher for the calls of all daemons to a service
     * @param control executor of the control thread
     */
    PlacementServer(
            Function<String, Optional<TimedCentralDispatcher>> dispatchers,
            PlacementPeers peers,
            Executor control,
            LongSupplier nanoClock) {
        this.dispatchers = dispatchers;
        this.peers = peers;
        this.control = control;
        this.nanoClock = nanoClock;
    }

    void handleRequest(UpstreamId peer, long incarnation, PlaceRequest request) {
        Optional<TimedCentralDispatcher> dispatcher = dispatchers.apply(request.getService());
        if (dispatcher.isEmpty()) {
            RefusedException unknownService = new RefusedException(
                    RefusalReason.NO_UPSTREAM,
                    "service " + request.getService() + " is not in the services text of this daemon");
            peers.send(peer, PlacementMessageCodec.encodeRefusal(request.getCall(), unknownService));
            return;
        }
        CompletableFuture<Dispatch> future =
                dispatcher.get().acquire(PlacementMessageCodec.decodeRequest(peer, request, nanoClock.getAsLong()));
        if (!future.isDone()) {
            peers.send(peer, PlacementMessageCodec.encodeWaiting(request.getCall()));
        }
        CallKey key = new CallKey(incarnation, request.getCall());
        calls.put(key, future);
        var unused =
                future.whenCompleteAsync((dispatch, failure) -> sendResponse(peer, key, dispatch, failure), control);
    }

    /** Releases the dispatch of a call that ended, or removes a call that no longer waits. */
    void handleEnd(long incarnation, PlaceEnd end) {
        CompletableFuture<Dispatch> future = calls.remove(new CallKey(incarnation, end.getCall()));
        if (future != null) {
            release(future, PlacementMessageCodec.decodeEnd(end));
        }
    }

    /** Releases all dispatches of a peer process that stopped or was disconnected. */
    void releaseIncarnation(long incarnation) {
        List<CallKey> keys = calls.keySet().stream()
                .filter(key -> key.incarnation() == incarnation)
                .toList();
        keys.forEach(key -> release(calls.remove(key), DispatchResult.of(DispatchResult.Kind.CANCELLED)));
    }

    int activeCalls() {
        return calls.size();
    }

    private void release(CompletableFuture<Dispatch> future, DispatchResult result) {
        if (!future.cancel(false) && !future.isCompletedExceptionally()) {
            future.join().complete(result, nanoClock.getAsLong());
        }
    }

    private void sendResponse(UpstreamId peer, CallKey key, Dispatch dispatch, Throwable failure) {
        if (!calls.containsKey(key)) {
            return;
        }
        if (dispatch != null) {
            peers.send(peer, PlacementMessageCodec.encodeGrant(key.call(), dispatch));
            return;
        }
        calls.remove(key);
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof RefusedException refusal) {
            peers.send(peer, PlacementMessageCodec.encodeRefusal(key.call(), refusal));
        } else if (!(cause instanceof CancellationException)) {
            // No response is sent: the requesting daemon times out and dispatches the call locally.
            LogEvent.CONTROL_THREAD_ERROR.error(cause, String.valueOf(cause));
        }
    }

    private record CallKey(long incarnation, long call) {}
}
