package org.sardinepost.daemon.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.sardinepost.core.admission.KindReport;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.measuring.ProbeCandidate;
import org.sardinepost.core.routing.ClosedUpstreams;
import org.sardinepost.core.routing.ColdRate;
import org.sardinepost.core.routing.ConnectionUse;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.JointDispatcher;
import org.sardinepost.core.routing.OwnLoad;
import org.sardinepost.core.routing.ReportedLoad;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Dispatches the calls of a service through the coordinator of the service, and locally if the coordinator is
 * unavailable.
 *
 * <p>This daemon does not rely on the coordinator's view of the upstreams: it releases a dispatch to an upstream that
 * it knows to be leaving or closed, and dispatches the call locally.
 */
public final class SharedDispatcher implements JointDispatcher {
    private final String service;
    private final Placement placement;
    private final TimedCentralDispatcher centralDispatcher;
    private final JointDispatcher local;
    private final ClosedUpstreams closedUpstreams;
    private final LongSupplier nanoClock;
    private volatile Set<UpstreamId> usable = Set.of();

    /**
     * Creates the dispatcher of one service.
     *
     * @param centralDispatcher dispatches the calls of all daemons while this daemon is the coordinator
     * @param local dispatches the calls of this daemon from local information
     * @param closedUpstreams the upstreams that get no calls of this daemon, shared with the local dispatcher
     */
    public SharedDispatcher(
            String service,
            Placement placement,
            TimedCentralDispatcher centralDispatcher,
            JointDispatcher local,
            ClosedUpstreams closedUpstreams,
            LongSupplier nanoClock) {
        this.service = service;
        this.placement = placement;
        this.centralDispatcher = centralDispatcher;
        this.local = local;
        this.closedUpstreams = closedUpstreams;
        this.nanoClock = nanoClock;
    }

    /** Returns the dispatcher for the calls of all daemons, used while this daemon is the coordinator. */
    public TimedCentralDispatcher centralDispatcher() {
        return centralDispatcher;
    }

    @Override
    public CompletableFuture<Dispatch> acquire(DispatchRequest request, long nowNanos) {
        Optional<RefusedException> allClosed = closedUpstreams.refusalIfAllClosed(usable, nowNanos);
        if (allClosed.isPresent()) {
            return CompletableFuture.failedFuture(allClosed.get());
        }
        Map<UpstreamId, Long> closedUntilNanos = closedUpstreams.untilNanos(nowNanos);
        DispatchRequest restricted = closedUntilNanos.isEmpty() ? request : request.withClosed(closedUntilNanos);
        CompletableFuture<Dispatch> requested = placement
                .coordinator(service, nowNanos)
                .map(coordinator -> placement.requestDispatch(coordinator, service, restricted, nowNanos))
                .orElseGet(() -> centralDispatcher.acquire(restricted));
        CompletableFuture<Dispatch> result = new CompletableFuture<>();
        var unused = requested.whenComplete(
                (dispatch, failure) -> handleResponse(result, dispatch, failure, restricted, nanoClock.getAsLong()));
        var unusedToo = result.whenComplete((dispatch, failure) -> requested.cancel(false));
        return result;
    }

    private void handleResponse(
            CompletableFuture<Dispatch> result,
            Dispatch dispatch,
            Throwable failure,
            DispatchRequest request,
            long nowNanos) {
        if (dispatch != null && mayReceiveCalls(dispatch.upstream(), nowNanos)) {
            if (!result.complete(new RecordingDispatch(dispatch))) {
                dispatch.complete(DispatchResult.of(DispatchResult.Kind.CANCELLED), nowNanos);
            }
            return;
        }
        if (dispatch != null) {
            dispatch.complete(DispatchResult.of(DispatchResult.Kind.CANCELLED), nowNanos);
        }
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause == null || cause instanceof CoordinatorUnavailableException || coordinatorLacksUpstreams(cause)) {
            dispatchLocally(result, request, nowNanos);
        } else {
            result.completeExceptionally(cause);
        }
    }

    private boolean mayReceiveCalls(UpstreamId upstream, long nowNanos) {
        return usable.contains(upstream) && !closedUpstreams.isClosed(upstream, nowNanos);
    }

    /**
     * Returns whether the coordinator knows no upstreams although this daemon does, as after a restart of the
     * coordinator.
     */
    private boolean coordinatorLacksUpstreams(Throwable refusal) {
        return !usable.isEmpty()
                && refusal instanceof RefusedException refusedCall
                && refusedCall.reason() == RefusalReason.NO_UPSTREAM;
    }

    private void dispatchLocally(CompletableFuture<Dispatch> result, DispatchRequest request, long nowNanos) {
        if (result.isDone()) {
            return;
        }
        CompletableFuture<Dispatch> localDispatch = local.acquire(request, nowNanos);
        var unused = localDispatch.whenComplete((dispatch, failure) -> {
            if (failure != null) {
                result.completeExceptionally(failure instanceof CompletionException ? failure.getCause() : failure);
            } else if (!result.complete(dispatch)) {
                dispatch.complete(DispatchResult.of(DispatchResult.Kind.CANCELLED), nowNanos);
            }
        });
        var unusedToo = result.whenComplete((dispatch, failure) -> localDispatch.cancel(false));
    }

    @Override
    public void expireQueuedCalls(long nowNanos) {
        centralDispatcher.dispatcher().expireQueuedCalls(nowNanos);
        local.expireQueuedCalls(nowNanos);
    }

    @Override
    public void setMeasuringBudget(int messagesPerSecond) {
        centralDispatcher.dispatcher().setMeasuringBudget(messagesPerSecond);
    }

    @Override
    public void setUpstreams(List<Upstream> upstreams, long nowNanos) {
        usable = upstreams.stream().map(Upstream::id).collect(Collectors.toUnmodifiableSet());
        closedUpstreams.setUpstreams(upstreams);
        centralDispatcher.dispatcher().setUpstreams(upstreams, nowNanos);
        local.setUpstreams(upstreams, nowNanos);
    }

    @Override
    public void setColdRate(Optional<ColdRate> rate) {
        centralDispatcher.dispatcher().setColdRate(rate);
        local.setColdRate(rate);
    }

    @Override
    public void setCold(Map<UpstreamId, Long> coldUntilNanos, long nowNanos) {
        centralDispatcher.dispatcher().setCold(coldUntilNanos, nowNanos);
        local.setCold(coldUntilNanos, nowNanos);
    }

    @Override
    public int coldUpstreams(long nowNanos) {
        return centralDispatcher.dispatcher().coldUpstreams(nowNanos);
    }

    @Override
    public long callsToCold() {
        return centralDispatcher.dispatcher().callsToCold();
    }

    @Override
    public List<KindReport> kindReports(long nowNanos) {
        return centralDispatcher.dispatcher().kindReports(nowNanos);
    }

    @Override
    public Set<UpstreamId> refusingUpstreams(long nowNanos) {
        Set<UpstreamId> refusing = new HashSet<>(centralDispatcher.dispatcher().refusingUpstreams(nowNanos));
        refusing.addAll(local.refusingUpstreams(nowNanos));
        return refusing;
    }

    @Override
    public long overflowedCalls() {
        return centralDispatcher.dispatcher().overflowedCalls() + local.overflowedCalls();
    }

    @Override
    public long placements(ConnectionUse use) {
        return centralDispatcher.dispatcher().placements(use);
    }

    @Override
    public void setDefaultSlots(int slotsPerUpstream, long nowNanos) {
        centralDispatcher.dispatcher().setDefaultSlots(slotsPerUpstream, nowNanos);
        local.setDefaultSlots(slotsPerUpstream, nowNanos);
    }

    @Override
    public void markLeaving(UpstreamId upstream, long nowNanos) {
        centralDispatcher.dispatcher().markLeaving(upstream, nowNanos);
        local.markLeaving(upstream, nowNanos);
    }

    @Override
    public void updatePeerLoad(long peerIncarnation, Map<UpstreamId, Integer> inFlight, long nowNanos) {
        local.updatePeerLoad(peerIncarnation, inFlight, nowNanos);
    }

    @Override
    public void removePeer(long peerIncarnation) {
        local.removePeer(peerIncarnation);
    }

    @Override
    public List<OwnLoad> ownLoads() {
        return local.ownLoads();
    }

    @Override
    public int ejectedUpstreams() {
        return local.ejectedUpstreams();
    }

    @Override
    public void recordProbeResponse(UpstreamId upstream, ReportedLoad load, long nowNanos) {
        local.recordProbeResponse(upstream, load, nowNanos);
    }

    @Override
    public List<ProbeCandidate> probeCandidates(long nowNanos) {
        return local.probeCandidates(nowNanos);
    }

    /** A dispatch of the coordinator, whose result also tells this daemon for how long the upstream wants no calls. */
    private final class RecordingDispatch implements Dispatch {
        private final Dispatch dispatch;

        RecordingDispatch(Dispatch dispatch) {
            this.dispatch = dispatch;
        }

        @Override
        public UpstreamId upstream() {
            return dispatch.upstream();
        }

        @Override
        public Optional<String> instance() {
            return dispatch.instance();
        }

        @Override
        public void complete(DispatchResult result, long nowNanos) {
            result.retryAfter().ifPresent(delay -> closedUpstreams.record(upstream(), instance(), delay, nowNanos));
            dispatch.complete(result, nowNanos);
        }
    }
}
