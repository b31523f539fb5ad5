package org.sardinepost.core.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * Assigns calls by own calls in progress, the load carried on answers and the loads of peers.
 *
 * <p>Calls for which no upstream has a place wait, deeper ones first. Futures complete outside the lock, so that callbacks
 * may call the dispatcher again.
 */
public final class JointLoadDispatcher implements JointDispatcher {
    /** Most calls stay in the failure domain of the daemon, so its upstreams matter more. */
    private static final double LOCAL_IMPORTANCE = 2;

    private DispatcherSettings settings;
    private final JointUpstreamSelector chooser;
    private final ServiceAverages service = new ServiceAverages();
    private final PeerLoads peers = new PeerLoads();
    private final ConcurrencyWindow window = new ConcurrencyWindow();
    private final CompletionRate rate = new CompletionRate();
    private final DepthCallQueue waiting;
    private final OutlierDetector health;
    private final Map<UpstreamId, UpstreamState> states = new LinkedHashMap<>();
    private boolean updated;
    private int inFlight;

    public JointLoadDispatcher(DispatcherSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.chooser = new JointUpstreamSelector(random);
        this.waiting = new DepthCallQueue(settings.waitingBytes());
        this.health = new OutlierDetector(service);
    }

    @Override
    public CompletableFuture<Dispatch> acquire(DispatchRequest request, long nowNanos) {
        CompletableFuture<Dispatch> future = new CompletableFuture<>();
        QueuedCall call = new QueuedCall(request, future);
        synchronized (this) {
            if (!mustWait(request)) {
                UpstreamState state = choose(request, nowNanos);
                if (state != null) {
                    return CompletableFuture.completedFuture(take(state, nowNanos));
                }
            }
            RefusedException refusal = enqueue(call, nowNanos);
            if (refusal != null) {
                return CompletableFuture.failedFuture(refusal);
            }
        }
        var unused = future.whenComplete((dispatch, failure) -> forgetCancelled(call));
        return future;
    }

    private boolean mustWait(DispatchRequest request) {
        return !window.allows(inFlight) || waiting.ahead(request.depth()) > 0;
    }

    private UpstreamState choose(DispatchRequest request, long nowNanos) {
        if (health.ejected() > 0 && request.excluded().isEmpty()) {
            UpstreamState trial = chooser.trial(nowNanos);
            if (trial != null) {
                return trial;
            }
        }
        return chooser.choose(request.excluded(), service, nowNanos);
    }

    private Place take(UpstreamState state, long nowNanos) {
        state.inFlight++;
        inFlight++;
        boolean trial = state.health.trialDue(nowNanos);
        if (trial) {
            state.health.trialStarted();
        }
        return new Place(state, trial, nowNanos);
    }

    private RefusedException enqueue(QueuedCall call, long nowNanos) {
        if (health.usable() == 0) {
            return noUpstream();
        }
        DispatchRequest request = call.request();
        int ahead = waiting.ahead(request.depth());
        long leftNanos = request.deadlineNanos() - nowNanos;
        if (leftNanos <= 0 || rate.waitNanos(ahead + 1) > leftNanos) {
            return new RefusedException(
                    RefusalReason.DEADLINE_TOO_SHORT,
                    ahead + " calls wait and " + leftNanos / 1_000_000 + " ms are left");
        }
        if (!waiting.offer(call)) {
            return new RefusedException(RefusalReason.QUEUE_FULL, "waiting calls hold " + waiting.bytes() + " bytes");
        }
        return null;
    }

    private void forgetCancelled(QueuedCall call) {
        if (call.future().isCancelled()) {
            synchronized (this) {
                waiting.remove(call);
            }
        }
    }

    @Override
    public void expire(long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            peers.removeSilent(states, nowNanos);
            updatePeerAverages();
            completions.expired(waiting.removeExpired(nowNanos));
            admitWaiting(completions, nowNanos);
        }
        completions.run(nowNanos);
    }

    /** Upstreams that reported other slots than the old setting keep what they reported. */
    @Override
    public void slots(int slotsPerUpstream, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            if (slotsPerUpstream == settings.slots()) {
                return;
            }
            int before = settings.slots();
            settings = new DispatcherSettings(slotsPerUpstream, settings.failureDomain(), settings.waitingBytes());
            states.values().stream()
                    .filter(state -> state.slots == before)
                    .forEach(state -> state.slots = slotsPerUpstream);
            limitsChanged();
            admitWaiting(completions, nowNanos);
        }
        completions.run(nowNanos);
    }

    private void limitsChanged() {
        window.setMax(states.values().stream()
                .filter(UpstreamState::usable)
                .mapToInt(UpstreamState::limit)
                .sum());
    }

    @Override
    public void update(List<Upstream> upstreams, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            List<UpstreamId> ids = upstreams.stream().map(Upstream::id).toList();
            states.values().stream().filter(state -> !ids.contains(state.id())).forEach(this::retire);
            states.keySet().retainAll(ids);
            upstreams.forEach(this::retireOtherInstance);
            upstreams.forEach(upstream -> states.computeIfAbsent(upstream.id(), id -> add(upstream, nowNanos)));
            updated = true;
            membersChanged();
            admitWaiting(completions, nowNanos);
        }
        completions.run(nowNanos);
    }

    private void retire(UpstreamState state) {
        state.removed = true;
        health.retire(state);
    }

    /** Another program at a known address starts without the history of the one before it. */
    private void retireOtherInstance(Upstream upstream) {
        UpstreamState state = states.get(upstream.id());
        if (state != null && !state.upstream().instance().equals(upstream.instance())) {
            retire(state);
            states.remove(upstream.id());
        }
    }

    private UpstreamState add(Upstream upstream, long nowNanos) {
        UpstreamState state = new UpstreamState(upstream, settings);
        peers.applyTo(state);
        if (updated) {
            state.health.startSlowly(nowNanos);
        }
        return state;
    }

    private void membersChanged() {
        List<UpstreamState> usable =
                states.values().stream().filter(UpstreamState::usable).toList();
        chooser.setStates(usable.toArray(UpstreamState[]::new));
        health.setUsable(usable);
        limitsChanged();
        updatePeerAverages();
    }

    @Override
    public void markLeaving(UpstreamId upstream, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            leave(states.get(upstream));
            admitWaiting(completions, nowNanos);
        }
        completions.run(nowNanos);
    }

    private void leave(UpstreamState state) {
        if (state != null && state.usable()) {
            state.leaving = true;
            health.retire(state);
            membersChanged();
        }
    }

    @Override
    public synchronized void peerLoads(long peerIncarnation, Map<UpstreamId, Integer> peerInFlight, long nowNanos) {
        peers.put(peerIncarnation, peerInFlight, states, nowNanos);
        updatePeerAverages();
    }

    @Override
    public synchronized void peerGone(long peerIncarnation) {
        peers.remove(peerIncarnation, states);
        updatePeerAverages();
    }

    private void updatePeerAverages() {
        long sum = 0;
        for (UpstreamState state : states.values()) {
            sum += state.load.peerSum();
        }
        service.setPeers((double) sum / Math.max(1, states.size()), peers.ageNanos());
    }

    @Override
    public synchronized List<OwnLoad> ownLoads() {
        return states.values().stream()
                .filter(state -> state.inFlight > 0 || state.failuresInARow > 0)
                .map(state -> new OwnLoad(state.id(), state.inFlight, state.failuresInARow))
                .toList();
    }

    @Override
    public synchronized int ejectedUpstreams() {
        return health.ejected();
    }

    @Override
    public synchronized void probed(UpstreamId upstream, ReportedLoad load, long nowNanos) {
        UpstreamState state = states.get(upstream);
        if (state != null && state.usable()) {
            int others = Math.max(0, load.inFlight() - state.inFlight);
            service.observeOthers(others);
            state.load.answered(others, nowNanos);
        }
    }

    @Override
    public synchronized List<ProbeCandidate> probeCandidates(long nowNanos) {
        return states.values().stream()
                .filter(state -> state.usable() && !state.health.ejected())
                .map(state -> new ProbeCandidate(
                        state.id(), state.load.ageNanos(nowNanos), state.local() ? LOCAL_IMPORTANCE : 1))
                .toList();
    }

    private void admitWaiting(DeferredCompletions completions, long nowNanos) {
        if (health.usable() == 0) {
            refuseAll(completions);
            return;
        }
        QueuedCall call = waiting.peek();
        while (call != null && window.allows(inFlight)) {
            UpstreamState state = null;
            if (call.request().deadlineNanos() - nowNanos > 0) {
                state = choose(call.request(), nowNanos);
                if (state == null) {
                    return;
                }
            }
            waiting.remove(call);
            if (state == null) {
                completions.expired(List.of(call));
            } else {
                completions.granted(call, take(state, nowNanos));
            }
            call = waiting.peek();
        }
    }

    private void refuseAll(DeferredCompletions completions) {
        for (QueuedCall call = waiting.peek(); call != null; call = waiting.peek()) {
            waiting.remove(call);
            completions.refused(call, noUpstream());
        }
    }

    private static RefusedException noUpstream() {
        return new RefusedException(
                RefusalReason.NO_UPSTREAM, "every upstream of the service is leaving or none exists");
    }

    private void release(Place place, DispatchResult result, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            UpstreamState state = place.state;
            if (state.usable()) {
                recordLoad(state, result, nowNanos);
                health.record(state, result.kind(), place.trial, nowNanos - place.startNanos, nowNanos);
            }
            state.inFlight--;
            inFlight--;
            recordRate(result.kind(), nowNanos);
            if (result.leaving()) {
                leave(states.get(state.id()));
            }
            admitWaiting(completions, nowNanos);
        }
        completions.run(nowNanos);
    }

    private void recordLoad(UpstreamState state, DispatchResult result, long nowNanos) {
        if (result.load().isEmpty()) {
            return;
        }
        ReportedLoad load = result.load().get();
        if (load.slots() != state.slots) {
            state.slots = load.slots();
            limitsChanged();
        }
        boolean refused = result.kind() == DispatchResult.Kind.REFUSED;
        int own = refused ? state.inFlight - 1 : state.inFlight;
        int others = Math.max(0, load.inFlight() - own);
        service.observeOthers(others);
        if (refused) {
            state.load.refused(others, nowNanos);
        } else {
            state.load.answered(others, nowNanos);
        }
    }

    private void recordRate(DispatchResult.Kind kind, long nowNanos) {
        if (kind == DispatchResult.Kind.REFUSED) {
            window.refused(nowNanos, service.latencyNanos());
            return;
        }
        rate.ended(nowNanos, waiting.size() > 0);
        if (kind == DispatchResult.Kind.ANSWERED) {
            window.answered(inFlight + 1);
        }
    }

    private final class Place implements Dispatch {
        private final UpstreamState state;
        private final boolean trial;
        private final long startNanos;
        private boolean released;

        Place(UpstreamState state, boolean trial, long startNanos) {
            this.state = state;
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
        public void finished(DispatchResult result, long nowNanos) {
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
