package org.sardinepost.daemon.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.measuring.ProbeCandidate;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.JointDispatcher;
import org.sardinepost.core.routing.OwnLoad;
import org.sardinepost.core.routing.ReportedLoad;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/**
 * Has the calls of a service placed by one daemon for the whole fleet, and by this daemon alone when that one is silent.
 *
 * <p>The placer is advice: a place on an upstream that this daemon knows to be leaving is given back.
 */
public final class SharedDispatcher implements JointDispatcher {
    private final String service;
    private final Placement placement;
    private final CentralPlaces central;
    private final JointDispatcher alone;
    private volatile Set<UpstreamId> usable = Set.of();

    /**
     * Creates the dispatcher of one service.
     *
     * @param central places the calls of all daemons while this daemon is the placer
     * @param alone places the calls of this daemon by what it knows itself
     */
    public SharedDispatcher(String service, Placement placement, CentralPlaces central, JointDispatcher alone) {
        this.service = service;
        this.placement = placement;
        this.central = central;
        this.alone = alone;
    }

    /** Places the calls of all daemons while this daemon is the placer. */
    public CentralPlaces central() {
        return central;
    }

    @Override
    public CompletableFuture<Dispatch> acquire(DispatchRequest request, long nowNanos) {
        Optional<UpstreamId> placer = placement.placer(service, nowNanos);
        if (placer.isEmpty()) {
            return central.acquire(request);
        }
        CompletableFuture<Dispatch> asked = placement.ask(placer.get(), service, request, nowNanos);
        CompletableFuture<Dispatch> place = new CompletableFuture<>();
        var unused = asked.whenComplete((granted, failure) -> settle(place, granted, failure, request, nowNanos));
        var unusedToo = place.whenComplete((granted, failure) -> asked.cancel(false));
        return place;
    }

    private void settle(
            CompletableFuture<Dispatch> place,
            Dispatch granted,
            Throwable failure,
            DispatchRequest request,
            long nowNanos) {
        if (granted != null && usable.contains(granted.upstream())) {
            if (!place.complete(granted)) {
                granted.finished(DispatchResult.of(DispatchResult.Kind.CANCELLED), nowNanos);
            }
            return;
        }
        if (granted != null) {
            granted.finished(DispatchResult.of(DispatchResult.Kind.CANCELLED), nowNanos);
        }
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause == null || cause instanceof PlacerSilentException || knowsLess(cause)) {
            placeAlone(place, request, nowNanos);
        } else {
            place.completeExceptionally(cause);
        }
    }

    /** A placer that has just started may know no upstream where this daemon knows some. */
    private boolean knowsLess(Throwable refusal) {
        return !usable.isEmpty()
                && refusal instanceof RefusedException refused
                && refused.reason() == RefusalReason.NO_UPSTREAM;
    }

    private void placeAlone(CompletableFuture<Dispatch> place, DispatchRequest request, long nowNanos) {
        if (place.isDone()) {
            return;
        }
        CompletableFuture<Dispatch> own = alone.acquire(request, nowNanos);
        var unused = own.whenComplete((granted, failure) -> {
            if (failure != null) {
                place.completeExceptionally(failure instanceof CompletionException ? failure.getCause() : failure);
            } else if (!place.complete(granted)) {
                granted.finished(DispatchResult.of(DispatchResult.Kind.CANCELLED), nowNanos);
            }
        });
        var unusedToo = place.whenComplete((granted, failure) -> own.cancel(false));
    }

    @Override
    public void expire(long nowNanos) {
        central.dispatcher().expire(nowNanos);
        alone.expire(nowNanos);
    }

    @Override
    public void measuringBudget(int messagesPerSecond) {
        central.dispatcher().measuringBudget(messagesPerSecond);
    }

    @Override
    public void update(List<Upstream> upstreams, long nowNanos) {
        usable = upstreams.stream().map(Upstream::id).collect(Collectors.toUnmodifiableSet());
        central.dispatcher().update(upstreams, nowNanos);
        alone.update(upstreams, nowNanos);
    }

    @Override
    public void slots(int slotsPerUpstream, long nowNanos) {
        central.dispatcher().slots(slotsPerUpstream, nowNanos);
        alone.slots(slotsPerUpstream, nowNanos);
    }

    @Override
    public void markLeaving(UpstreamId upstream, long nowNanos) {
        central.dispatcher().markLeaving(upstream, nowNanos);
        alone.markLeaving(upstream, nowNanos);
    }

    @Override
    public void peerLoads(long peerIncarnation, Map<UpstreamId, Integer> inFlight, long nowNanos) {
        alone.peerLoads(peerIncarnation, inFlight, nowNanos);
    }

    @Override
    public void peerGone(long peerIncarnation) {
        alone.peerGone(peerIncarnation);
    }

    @Override
    public List<OwnLoad> ownLoads() {
        return alone.ownLoads();
    }

    @Override
    public int ejectedUpstreams() {
        return alone.ejectedUpstreams();
    }

    @Override
    public void probed(UpstreamId upstream, ReportedLoad load, long nowNanos) {
        alone.probed(upstream, load, nowNanos);
    }

    @Override
    public List<ProbeCandidate> probeCandidates(long nowNanos) {
        return alone.probeCandidates(nowNanos);
    }
}
