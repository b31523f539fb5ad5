package org.sardinepost.daemon.placement;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.retry.AdaptiveTimeout;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.PlaceAnswer;

/** Requests dispatches from the coordinators of services. Thread-safe. */
final class PlacementClient {
    /**
     * About ten round trips within a region; a coordinator that usually responds at once and has not done so by then is
     * frozen or unreachable.
     */
    private static final Duration MIN_RESPONSE_TIMEOUT = Duration.ofMillis(40);

    /** Largest fraction of the time to its target that a call waits for a coordinator that usually responds late. */
    private static final double MAX_WAIT_FRACTION = 0.25;

    /** A response that comes even later shows that the coordinator was frozen or cut off, not how fast it is. */
    private static final long MAX_RESPONSE_SECONDS = 2;

    /**
     * Timeout of a queued call, as a fraction of the time until its deadline; the coordinator refuses the call earlier.
     */
    private static final double QUEUED_TIMEOUT_FRACTION = 0.5;

    private final PlacementPeers peers;
    private final CoordinatorSelector selector;
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private final AtomicLong lastCall = new AtomicLong();
    private final AtomicLong timeouts = new AtomicLong();
    private final Map<Long, PendingRequest> pendingByCall = new ConcurrentHashMap<>();
    private final Map<UpstreamId, AdaptiveTimeout> responseTimeouts = new ConcurrentHashMap<>();
    /** When the last requests that timed out were sent, to measure the responses to them. */
    private final Map<Long, Long> sentNanosOfTimedOut = new ConcurrentHashMap<>();

    PlacementClient(PlacementPeers peers, CoordinatorSelector selector, Scheduler scheduler, LongSupplier nanoClock) {
        this.peers = peers;
        this.selector = selector;
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
    }

    /**
     * Requests a dispatch from a coordinator.
     *
     * <p>The future fails with {@link RefusedException} if the coordinator refuses the call, and with
     * {@link CoordinatorUnavailableException} if it does not respond.
     */
    CompletableFuture<Dispatch> requestDispatch(
            UpstreamId coordinator, String service, DispatchRequest request, long nowNanos) {
        long call = lastCall.incrementAndGet();
        PendingRequest pending = new PendingRequest(coordinator, service, call, request, nowNanos);
        pendingByCall.put(call, pending);
        pending.restartTimer(responseTimeoutMillis(coordinator, request, nowNanos));
        peers.send(coordinator, PlacementMessageCodec.encodeRequest(call, service, request, nowNanos));
        var unused = pending.future.whenComplete((dispatch, failure) -> removeCompleted(pending));
        return pending.future;
    }

    void handleResponse(UpstreamId coordinator, PlaceAnswer answer) {
        selector.recordResponse(coordinator);
        recordResponseTime(coordinator, answer.getCall());
        PendingRequest pending = pendingByCall.get(answer.getCall());
        if (pending == null || !pending.coordinator.equals(coordinator)) {
            releaseUnclaimed(coordinator, answer);
            return;
        }
        if (answer.getWaiting()) {
            pending.extendTimeout();
            return;
        }
        Optional<RefusedException> refusal = PlacementMessageCodec.decodeRefusal(answer);
        if (refusal.isPresent()) {
            pending.future.completeExceptionally(refusal.get());
            return;
        }
        Optional<UpstreamId> upstream = UpstreamId.parse(answer.getUpstream());
        if (upstream.isEmpty()) {
            pending.future.completeExceptionally(new CoordinatorUnavailableException(coordinator));
            return;
        }
        RemoteDispatch dispatch = new RemoteDispatch(pending, upstream.get(), answer.getInstance());
        if (!pending.future.complete(dispatch)) {
            dispatch.complete(DispatchResult.of(DispatchResult.Kind.CANCELLED), nanoClock.getAsLong());
        }
    }

    /** Returns the number of requests that a coordinator did not respond to in time. */
    long timeouts() {
        return timeouts.get();
    }

    private long responseTimeoutMillis(UpstreamId coordinator, DispatchRequest request, long nowNanos) {
        long maxNanos = (long) (MAX_WAIT_FRACTION * (request.targetNanos() - nowNanos));
        return TimeUnit.NANOSECONDS.toMillis(responseTimeout(coordinator).nanos(maxNanos));
    }

    private AdaptiveTimeout responseTimeout(UpstreamId coordinator) {
        return responseTimeouts.computeIfAbsent(coordinator, address -> new AdaptiveTimeout(MIN_RESPONSE_TIMEOUT));
    }

    /** Records the time of the first response to a request. */
    private void recordResponseTime(UpstreamId coordinator, long call) {
        Optional<Long> sentNanos = Optional.ofNullable(pendingByCall.get(call))
                .map(PendingRequest::takeSentNanos)
                .orElseGet(() -> Optional.ofNullable(sentNanosOfTimedOut.remove(call)));
        sentNanos.ifPresent(sent -> responseTimeout(coordinator).recordResponse(nanoClock.getAsLong() - sent));
    }

    /** Fails all requests that are pending at a coordinator whose connection ended. */
    void coordinatorDisconnected(UpstreamId coordinator) {
        responseTimeouts.remove(coordinator);
        pendingByCall.values().stream()
                .filter(pending -> pending.coordinator.equals(coordinator))
                .forEach(pending ->
                        pending.future.completeExceptionally(new CoordinatorUnavailableException(coordinator)));
    }

    /** Releases a dispatch that was granted after its request ended, since the coordinator counts it as in use. */
    private void releaseUnclaimed(UpstreamId coordinator, PlaceAnswer answer) {
        if (!answer.getUpstream().isEmpty()) {
            peers.send(coordinator, cancellation(answer.getCall(), ""));
        }
    }

    /** Removes a request that is complete; if it failed, the coordinator is told to remove the call from its queue. */
    private void removeCompleted(PendingRequest pending) {
        pending.timer.cancel();
        pendingByCall.remove(pending.call);
        if (pending.future.isCompletedExceptionally()) {
            peers.send(pending.coordinator, cancellation(pending.call, pending.service));
        }
    }

    private static PeerMessage cancellation(long call, String service) {
        return PlacementMessageCodec.encodeEnd(call, service, DispatchResult.of(DispatchResult.Kind.CANCELLED));
    }

    private final class PendingRequest {
        private final UpstreamId coordinator;
        private final String service;
        private final long call;
        private final DispatchRequest request;
        private final long sentNanos;
        private final CompletableFuture<Dispatch> future = new CompletableFuture<>();
        private final AtomicBoolean responded = new AtomicBoolean();
        private volatile Scheduler.Task timer = () -> true;

        PendingRequest(UpstreamId coordinator, String service, long call, DispatchRequest request, long sentNanos) {
            this.coordinator = coordinator;
            this.service = service;
            this.call = call;
            this.request = request;
            this.sentNanos = sentNanos;
        }

        /** Returns when the request was sent if this is the first response to it. */
        Optional<Long> takeSentNanos() {
            return responded.compareAndSet(false, true) ? Optional.of(sentNanos) : Optional.empty();
        }

        void restartTimer(long millis) {
            timer.cancel();
            timer = scheduler.schedule(this::timedOut, millis, TimeUnit.MILLISECONDS);
        }

        void extendTimeout() {
            long leftNanos = request.deadlineNanos() - nanoClock.getAsLong();
            restartTimer(MIN_RESPONSE_TIMEOUT.toMillis()
                    + TimeUnit.NANOSECONDS.toMillis((long) (QUEUED_TIMEOUT_FRACTION * leftNanos)));
        }

        private void timedOut() {
            if (future.isDone()) {
                return;
            }
            timeouts.incrementAndGet();
            if (!responded.get()) {
                expectLateResponse();
            }
            // Recorded before the future fails, since its callbacks may select a coordinator for the next call at once.
            selector.recordTimeout(coordinator, nanoClock.getAsLong());
            future.completeExceptionally(new CoordinatorUnavailableException(coordinator));
        }

        private void expectLateResponse() {
            sentNanosOfTimedOut.put(call, sentNanos);
            Scheduler.Task unused =
                    scheduler.schedule(() -> sentNanosOfTimedOut.remove(call), MAX_RESPONSE_SECONDS, TimeUnit.SECONDS);
        }
    }

    private final class RemoteDispatch implements Dispatch {
        private final PendingRequest pending;
        private final UpstreamId upstream;
        private final String instance;
        private final AtomicBoolean released = new AtomicBoolean();

        RemoteDispatch(PendingRequest pending, UpstreamId upstream, String instance) {
            this.pending = pending;
            this.upstream = upstream;
            this.instance = instance;
        }

        @Override
        public UpstreamId upstream() {
            return upstream;
        }

        @Override
        public Optional<String> instance() {
            return instance.isEmpty() ? Optional.empty() : Optional.of(instance);
        }

        @Override
        public void complete(DispatchResult result, long nowNanos) {
            if (released.compareAndSet(false, true)) {
                peers.send(pending.coordinator, PlacementMessageCodec.encodeEnd(pending.call, pending.service, result));
            }
        }
    }
}
