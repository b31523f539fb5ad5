package org.sardinepost.daemon.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.PlaceEnd;
import org.sardinepost.peer.generated.PlaceRequest;

/** Grants dispatches to calls of other daemons. Only the control thread changes the state; metrics read its size. */
final class PlacementServer {
    /** The daemon of a call ends it at its deadline, and its message needs far less than this time. */
    private static final long OVERDUE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Function<String, Optional<TimedCentralDispatcher>> dispatchers;
    private final PlacementPeers peers;
    private final Executor control;
    private final LongSupplier nanoClock;
    private final Map<CallKey, RemoteCall> calls = new ConcurrentHashMap<>();

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
        DispatchRequest dispatchRequest = PlacementMessageCodec.decodeRequest(peer, request, nanoClock.getAsLong());
        CompletableFuture<Dispatch> future = dispatcher.get().acquire(dispatchRequest);
        if (!future.isDone()) {
            peers.send(peer, PlacementMessageCodec.encodeWaiting(request.getCall()));
        }
        CallKey key = new CallKey(incarnation, request.getCall());
        calls.put(key, new RemoteCall(future, dispatchRequest.deadlineNanos()));
        var unused =
                future.whenCompleteAsync((dispatch, failure) -> sendResponse(peer, key, dispatch, failure), control);
    }

    /** Releases the dispatch of a call that ended, or removes a call that no longer waits. */
    void handleEnd(long incarnation, PlaceEnd end) {
        RemoteCall call = calls.remove(new CallKey(incarnation, end.getCall()));
        if (call != null) {
            release(call, PlacementMessageCodec.decodeEnd(end));
        }
    }

    /**
     * Releases the dispatches of calls that have ended by now, because the messages about it were lost. Otherwise their
     * slots would stay in use.
     */
    void releaseOverdue() {
        long nowNanos = nanoClock.getAsLong();
        releaseIf((key, call) -> nowNanos - call.deadlineNanos() > OVERDUE_NANOS);
    }

    /** Releases all dispatches of a peer process that stopped or was disconnected. */
    void releaseIncarnation(long incarnation) {
        releaseIf((key, call) -> key.incarnation() == incarnation);
    }

    private void releaseIf(BiPredicate<CallKey, RemoteCall> condition) {
        List<CallKey> keys = calls.entrySet().stream()
                .filter(entry -> condition.test(entry.getKey(), entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        keys.forEach(key -> release(calls.remove(key), DispatchResult.of(DispatchResult.Kind.CANCELLED)));
    }

    int activeCalls() {
        return calls.size();
    }

    private void release(RemoteCall call, DispatchResult result) {
        CompletableFuture<Dispatch> future = call.dispatch();
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

    private record RemoteCall(CompletableFuture<Dispatch> dispatch, long deadlineNanos) {}
}
