package org.sardinepost.core.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.sardinepost.core.admission.CompletionRate;
import org.sardinepost.core.admission.ConcurrencyWindow;
import org.sardinepost.core.admission.DepthCallQueue;
import org.sardinepost.core.admission.QueuedCall;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.measuring.ProbeCandidate;

/**
 * Assigns calls based on this daemon's calls in progress, the load reported on responses and the load of peers.
 *
 * <p>Calls are queued while no upstream has capacity; calls at a greater nesting depth are dispatched first. Futures
 * complete outside the lock, so that callbacks may call the dispatcher again.
 */
public final class JointLoadDispatcher implements JointDispatcher {
    /** Most calls stay in the failure domain of the daemon, so the load of local upstreams matters more. */
    private static final double LOCAL_IMPORTANCE = 2;

    private DispatcherSettings settings;
    private final JointUpstreamSelector selector;
    /** Only the daemon that paces calls for the whole fleet sends calls to cold upstreams. */
    private final ColdUpstreams cold = new ColdUpstreams(nowNanos -> false);

    private final ClosedUpstreams closedUpstreams;
    private final RefusingUpstreams refusing = new RefusingUpstreams();
    private final ServiceAverages averages = new ServiceAverages();
    private final PeerLoads peers = new PeerLoads();
    private final ConcurrencyWindow concurrencyWindow = new ConcurrencyWindow();
    private final CompletionRate completionRate = new CompletionRate();
    private final DepthCallQueue queue;
    private final OutlierDetector outlierDetector;
    private final Map<UpstreamId, UpstreamState> states = new LinkedHashMap<>();
    private boolean initialized;
    private int inFlight;

    public JointLoadDispatcher(DispatcherSettings settings, RandomGenerator random) {
        this(settings, random, new ClosedUpstreams(random));
    }

    /**
     * Creates a dispatcher.
     *
     * @param closedUpstreams the upstreams that get no calls of this daemon; those that ask for it are added
     */
    public JointLoadDispatcher(DispatcherSettings settings, RandomGenerator random, ClosedUpstreams closedUpstreams) {
        this.settings = settings;
        this.closedUpstreams = closedUpstreams;
        this.selector = new JointUpstreamSelector(random, closedUpstreams, cold, refusing);
        this.queue = new DepthCallQueue(settings.maxQueuedBytes());
        this.outlierDetector = new OutlierDetector(averages);
    }

    @Override
    public CompletableFuture<Dispatch> acquire(DispatchRequest request, long nowNanos) {
        CompletableFuture<Dispatch> future = new CompletableFuture<>();
        QueuedCall call = new QueuedCall(request, future);
        synchronized (this) {
            if (!mustQueue(request)) {
                UpstreamState state = selectUpstream(request, nowNanos);
                if (state != null) {
                    return CompletableFuture.completedFuture(grant(state, request, nowNanos));
                }
            }
            RefusedException refusal = enqueueOrRefuse(call, nowNanos);
            if (refusal != null) {
                return CompletableFuture.failedFuture(refusal);
            }
        }
        var unused = future.whenComplete((dispatch, failure) -> removeCancelled(call));
        return future;
    }

    private boolean mustQueue(DispatchRequest request) {
        return !concurrencyWindow.allows(inFlight) || queue.callsAhead(request) > 0;
    }

    private UpstreamState selectUpstream(DispatchRequest request, long nowNanos) {
        if (outlierDetector.ejectedCount() > 0 && request.excluded().isEmpty()) {
            UpstreamState trial = selector.selectForTrial(nowNanos);
            if (trial != null) {
                return trial;
            }
        }
        return selector.select(request.excluded(), averages, nowNanos);
    }

    private GrantedDispatch grant(UpstreamState state, DispatchRequest request, long nowNanos) {
        refusing.recordDispatch(state, nowNanos);
        state.inFlight++;
        inFlight++;
        boolean trial = state.ejection.trialDue(nowNanos);
        if (trial) {
            state.ejection.trialStarted();
        }
        return new GrantedDispatch(state, request, trial, nowNanos);
    }

    private RefusedException enqueueOrRefuse(QueuedCall call, long nowNanos) {
        if (outlierDetector.usableCount() == 0) {
            return noUpstream();
        }
        Optional<RefusedException> allClosed = refusalIfAllClosed(nowNanos);
        if (allClosed.isPresent()) {
            return allClosed.get();
        }
        Optional<RefusedException> onlyCold = cold.refusalIfUnavailable(states.values(), nowNanos);
        if (onlyCold.isPresent()) {
            return onlyCold.get();
        }
        DispatchRequest request = call.request();
        int callsAhead = queue.callsAhead(request);
        long remainingNanos = request.deadlineNanos() - nowNanos;
        if (remainingNanos <= 0 || completionRate.waitNanos(callsAhead + 1) > remainingNanos) {
            return new RefusedException(
                    RefusalReason.DEADLINE_TOO_SHORT,
                    callsAhead + " calls are queued ahead and only " + remainingNanos / 1_000_000
                            + " ms remain until the deadline");
        }
        if (!queue.tryAdd(call)) {
            return new RefusedException(RefusalReason.QUEUE_FULL, "queued calls hold " + queue.bytes() + " bytes");
        }
        return null;
    }

    private void removeCancelled(QueuedCall call) {
        if (call.future().isCancelled()) {
            synchronized (this) {
                queue.remove(call);
            }
        }
    }

    @Override
    public void expireQueuedCalls(long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            refusing.keepHalfOpen(states.values(), cold, nowNanos);
            peers.removeExpired(states, nowNanos);
            updatePeerAverages();
            completions.refuseExpired(queue.removeExpired(nowNanos));
            dispatchQueued(completions, nowNanos);
        }
        completions.complete(nowNanos);
    }

    /** Upstreams that reported a number of slots different from the previous setting keep the reported number. */
    @Override
    public void setDefaultSlots(int slotsPerUpstream, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            if (slotsPerUpstream == settings.slots()) {
                return;
            }
            int previousSlots = settings.slots();
            settings = new DispatcherSettings(slotsPerUpstream, settings.failureDomain(), settings.maxQueuedBytes());
            states.values().stream()
                    .filter(state -> state.slots == previousSlots)
                    .forEach(state -> state.slots = slotsPerUpstream);
            updateWindowMax();
            dispatchQueued(completions, nowNanos);
        }
        completions.complete(nowNanos);
    }

    private void updateWindowMax() {
        concurrencyWindow.setMax(states.values().stream()
                .filter(UpstreamState::usable)
                .mapToInt(UpstreamState::maxInFlight)
                .sum());
    }

    @Override
    public synchronized void setColdRate(Optional<ColdRate> rate) {
        cold.setRate(rate);
    }

    @Override
    public void setCold(Map<UpstreamId, Long> coldUntilNanos, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            cold.setListed(coldUntilNanos, nowNanos);
            refuseIfOnlyColdLeft(completions, nowNanos);
        }
        completions.complete(nowNanos);
    }

    @Override
    public synchronized int coldUpstreams(long nowNanos) {
        return cold.count(states.keySet(), nowNanos);
    }

    @Override
    public synchronized Set<UpstreamId> refusingUpstreams(long nowNanos) {
        return refusing.suspected(states.values(), nowNanos);
    }

    @Override
    public synchronized long overflowedCalls() {
        return refusing.overflowed();
    }

    @Override
    public void setUpstreams(List<Upstream> upstreams, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            List<UpstreamId> ids = upstreams.stream().map(Upstream::id).toList();
            states.values().stream().filter(state -> !ids.contains(state.id())).forEach(this::removeUpstream);
            states.keySet().retainAll(ids);
            upstreams.forEach(this::removeIfInstanceChanged);
            upstreams.forEach(upstream -> states.computeIfAbsent(upstream.id(), id -> createState(upstream, nowNanos)));
            initialized = true;
            upstreamsChanged();
            closedUpstreams.setUpstreams(upstreams);
            dispatchQueued(completions, nowNanos);
        }
        completions.complete(nowNanos);
    }

    private void removeUpstream(UpstreamState state) {
        state.removed = true;
        outlierDetector.remove(state);
    }

    /** Discards the state of an upstream if a different process instance now runs at its address. */
    private void removeIfInstanceChanged(Upstream upstream) {
        UpstreamState state = states.get(upstream.id());
        if (state != null && !state.upstream().instance().equals(upstream.instance())) {
            removeUpstream(state);
            states.remove(upstream.id());
        }
    }

    private UpstreamState createState(Upstream upstream, long nowNanos) {
        UpstreamState state = new UpstreamState(upstream, settings);
        peers.addAllTo(state);
        if (initialized) {
            state.ejection.beginSlowStart(nowNanos);
        }
        return state;
    }

    private void upstreamsChanged() {
        List<UpstreamState> usable =
                states.values().stream().filter(UpstreamState::usable).toList();
        selector.setStates(usable.toArray(UpstreamState[]::new));
        outlierDetector.setUsableUpstreams(usable);
        updateWindowMax();
        updatePeerAverages();
    }

    @Override
    public void markLeaving(UpstreamId upstream, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            setLeaving(states.get(upstream));
            dispatchQueued(completions, nowNanos);
        }
        completions.complete(nowNanos);
    }

    private void setLeaving(UpstreamState state) {
        if (state != null && state.usable()) {
            state.leaving = true;
            outlierDetector.remove(state);
            upstreamsChanged();
        }
    }

    @Override
    public synchronized void updatePeerLoad(
            long peerIncarnation, Map<UpstreamId, Integer> peerInFlight, long nowNanos) {
        peers.update(peerIncarnation, peerInFlight, states, nowNanos);
        updatePeerAverages();
    }

    @Override
    public synchronized void removePeer(long peerIncarnation) {
        peers.remove(peerIncarnation, states);
        updatePeerAverages();
    }

    private void updatePeerAverages() {
        long peerInFlight = 0;
        for (UpstreamState state : states.values()) {
            peerInFlight += state.load.peerInFlight();
        }
        averages.setPeerLoad((double) peerInFlight / Math.max(1, states.size()), peers.meanAgeNanos());
    }

    @Override
    public synchronized List<OwnLoad> ownLoads() {
        return states.values().stream()
                .filter(state -> state.inFlight > 0 || state.consecutiveFailures > 0)
                .map(state -> new OwnLoad(state.id(), state.inFlight, state.consecutiveFailures))
                .toList();
    }

    @Override
    public synchronized int ejectedUpstreams() {
        return outlierDetector.ejectedCount();
    }

    @Override
    public synchronized void recordProbeResponse(UpstreamId upstream, ReportedLoad load, long nowNanos) {
        UpstreamState state = states.get(upstream);
        if (state != null && state.usable()) {
            int otherInFlight = Math.max(0, load.inFlight() - state.inFlight);
            averages.recordOtherInFlight(otherInFlight, nowNanos);
            state.load.recordResponse(otherInFlight, nowNanos);
        }
    }

    @Override
    public synchronized List<ProbeCandidate> probeCandidates(long nowNanos) {
        return states.values().stream()
                .filter(state -> state.usable() && !state.ejection.ejected())
                .map(state -> new ProbeCandidate(
                        state.id(), state.load.ageNanos(nowNanos), state.local() ? LOCAL_IMPORTANCE : 1))
                .toList();
    }

    private void dispatchQueued(DeferredCompletions completions, long nowNanos) {
        if (outlierDetector.usableCount() == 0) {
            refuseAll(completions, noUpstream());
            return;
        }
        Optional<RefusedException> allClosed = queue.size() == 0 ? Optional.empty() : refusalIfAllClosed(nowNanos);
        if (allClosed.isPresent()) {
            refuseAll(completions, allClosed.get());
            return;
        }
        refuseIfOnlyColdLeft(completions, nowNanos);
        QueuedCall call = queue.peek();
        while (call != null && concurrencyWindow.allows(inFlight)) {
            UpstreamState state = null;
            if (call.request().deadlineNanos() - nowNanos > 0) {
                state = selectUpstream(call.request(), nowNanos);
                if (state == null) {
                    return;
                }
            }
            queue.remove(call);
            if (state == null) {
                completions.refuseExpired(List.of(call));
            } else {
                completions.grant(call, grant(state, call.request(), nowNanos));
            }
            call = queue.peek();
        }
    }

    private void refuseAll(DeferredCompletions completions, RefusedException refusal) {
        for (QueuedCall call = queue.peek(); call != null; call = queue.peek()) {
            queue.remove(call);
            completions.refuse(call, refusal);
        }
    }

    private void refuseIfOnlyColdLeft(DeferredCompletions completions, long nowNanos) {
        for (QueuedCall call = queue.peek(); call != null; call = queue.peek()) {
            Optional<RefusedException> refusal = cold.refusalIfUnavailable(states.values(), nowNanos);
            if (refusal.isEmpty()) {
                return;
            }
            queue.remove(call);
            completions.refuse(call, refusal.get());
        }
    }

    private Optional<RefusedException> refusalIfAllClosed(long nowNanos) {
        if (closedUpstreams.isEmpty()) {
            return Optional.empty();
        }
        List<UpstreamId> usable = states.values().stream()
                .filter(UpstreamState::usable)
                .map(UpstreamState::id)
                .toList();
        return closedUpstreams.refusalIfAllClosed(usable, nowNanos);
    }

    private static RefusedException noUpstream() {
        return new RefusedException(RefusalReason.NO_UPSTREAM, "the service has no upstream that accepts calls");
    }

    private void release(GrantedDispatch dispatch, DispatchResult result, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            UpstreamState state = dispatch.state;
            result.retryAfter()
                    .ifPresent(delay ->
                            closedUpstreams.record(state.id(), state.upstream().instance(), delay, nowNanos));
            if (state.usable() && dispatch.request.isDelayed(result, nowNanos)) {
                outlierDetector.recordInconclusive(state, dispatch.trial, nowNanos);
            } else if (state.usable()) {
                recordLoad(state, result, nowNanos);
                refusing.record(state, result, states.values(), cold, nowNanos);
                outlierDetector.record(
                        state, outlierKind(state, result), dispatch.trial, nowNanos - dispatch.startNanos, nowNanos);
                refusing.keepHalfOpen(states.values(), cold, nowNanos);
            }
            state.inFlight--;
            inFlight--;
            recordCompletion(state, result, nowNanos);
            if (result.leaving()) {
                setLeaving(state.sameProcessIn(states));
            }
            dispatchQueued(completions, nowNanos);
        }
        completions.complete(nowNanos);
    }

    private void recordLoad(UpstreamState state, DispatchResult result, long nowNanos) {
        if (result.load().isEmpty()) {
            return;
        }
        ReportedLoad load = result.load().get();
        if (load.slots() != state.slots) {
            state.slots = load.slots();
            updateWindowMax();
        }
        boolean refused = result.kind() == DispatchResult.Kind.REFUSED;
        int ownInFlight = refused ? state.inFlight - 1 : state.inFlight;
        int otherInFlight = Math.max(0, load.inFlight() - ownInFlight);
        averages.recordOtherInFlight(otherInFlight, nowNanos);
        if (refused) {
            state.load.recordRefusal(otherInFlight, nowNanos);
        } else {
            state.load.recordResponse(otherInFlight, nowNanos);
        }
    }

    /** An upstream that refuses every call, whatever load it reports, is a failing one. */
    private static DispatchResult.Kind outlierKind(UpstreamState state, DispatchResult result) {
        return state.refusals.refusesAll() ? DispatchResult.Kind.FAILED : result.kind();
    }

    private void recordCompletion(UpstreamState state, DispatchResult result, long nowNanos) {
        DispatchResult.Kind kind = result.kind();
        if (kind == DispatchResult.Kind.REFUSED) {
            // Fewer calls in progress would not end refusals that are not due to a lack of capacity.
            if (!refusing.isUnexplained(result) || !state.refusals.isSuspected(nowNanos)) {
                concurrencyWindow.recordRefusal(nowNanos, averages.latencyNanos());
            }
            return;
        }
        completionRate.recordCompletion(nowNanos, queue.size() > 0);
        if (kind == DispatchResult.Kind.ANSWERED) {
            concurrencyWindow.recordResponse(inFlight + 1);
        }
    }

    private final class GrantedDispatch implements Dispatch {
        private final UpstreamState state;
        private final DispatchRequest request;
        private final boolean trial;
        private final long startNanos;
        private boolean released;

        GrantedDispatch(UpstreamState state, DispatchRequest request, boolean trial, long startNanos) {
            this.state = state;
            this.request = request;
            this.trial = trial;
            this.startNanos = startNanos;
        }

        @Override
        public UpstreamId upstream() {
            return state.id();
        }

        @Override
        public Optional<String> instance() {
            return state.upstream().instance();
        }

        @Override
        public void complete(DispatchResult result, long nowNanos) {
            synchronized (JointLoadDispatcher.this) {
                if (released) {
                    return;
                }
                released = true;
            }
            release(this, result, nowNanos);
        }
    }
}
