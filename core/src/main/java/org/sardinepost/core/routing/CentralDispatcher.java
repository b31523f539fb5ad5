package org.sardinepost.core.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.sardinepost.core.admission.LastSlotPolicy;
import org.sardinepost.core.admission.PriorityCallQueue;
import org.sardinepost.core.admission.QueueAdmissionPolicy;
import org.sardinepost.core.admission.QueuedCall;
import org.sardinepost.core.admission.RetryAfterSchedule;
import org.sardinepost.core.admission.ServiceTimeEstimator;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/**
 * Assigns the calls of one service from all daemons of the fleet.
 *
 * <p>It sees every call, so it keeps on each upstream only the calls that start at once, and lets the others wait where they
 * can still go to the upstream that is free first. Futures complete outside the lock, so that callbacks may call the
 * dispatcher again.
 */
public final class CentralDispatcher implements Dispatcher {
    /** An upstream that refused a call for lack of room is left alone for this share of the usual service time. */
    private static final double BLOCKED_SHARE = 0.25;

    /** Three rounds of probes; a call that waits longer goes to an upstream that could not be asked within the budget. */
    private static final long PROBE_LIMIT_NANOS = Duration.ofMillis(24).toNanos();

    /** The usual time of each kind of call is scaled to this one, so that upstreams can be compared. */
    private static final long COMPARABLE_NANOS = Duration.ofMillis(100).toNanos();

    private final CentralUpstreamSelector chooser;
    private final Optional<LoadProbe> probe;
    private final ProbeRateLimiter pacer = new ProbeRateLimiter();
    private final ServiceAverages service = new ServiceAverages();
    private final OutlierDetector health = new OutlierDetector(service);
    private final LastSlotPolicy lastSlot = new LastSlotPolicy();
    private final ServiceTimeEstimator times = new ServiceTimeEstimator();
    private final PriorityCallQueue waiting = new PriorityCallQueue();
    private final RetryAfterSchedule returns = new RetryAfterSchedule();
    private final Map<UpstreamId, UpstreamState> states = new LinkedHashMap<>();
    private DispatcherSettings settings;
    private boolean updated;

    /**
     * Creates a dispatcher.
     *
     * @param probe asks upstreams for their load; answers go to {@link #probed}; empty if they are not asked
     */
    public CentralDispatcher(DispatcherSettings settings, RandomGenerator random, Optional<LoadProbe> probe) {
        this.settings = settings;
        this.probe = probe;
        this.chooser = new CentralUpstreamSelector(random);
    }

    @Override
    public CompletableFuture<Dispatch> acquire(DispatchRequest request, long nowNanos) {
        CompletableFuture<Dispatch> future = new CompletableFuture<>();
        QueuedCall call = new QueuedCall(request, future);
        List<UpstreamId> toAsk;
        synchronized (this) {
            if (QueueAdmissionPolicy.hopeless(request, usualNanos(request), nowNanos)) {
                return CompletableFuture.failedFuture(tooLate(request, nowNanos));
            }
            if (ahead(request, nowNanos) == 0) {
                Optional<UpstreamState> state = choose(call, nowNanos, nowNanos);
                if (state.isPresent()) {
                    return CompletableFuture.completedFuture(take(state.get(), request, nowNanos));
                }
            }
            Optional<RefusedException> refusal = refusal(request, nowNanos);
            if (refusal.isPresent()) {
                return CompletableFuture.failedFuture(refusal.get());
            }
            waiting.add(call, nowNanos);
            toAsk = upstreamsToAsk(request, nowNanos);
        }
        ask(toAsk);
        var unused = future.whenComplete((dispatch, failure) -> forgetCancelled(call));
        return future;
    }

    private Optional<UpstreamState> choose(QueuedCall call, long sinceNanos, long nowNanos) {
        DispatchRequest request = call.request();
        if (health.ejected() > 0) {
            Optional<UpstreamState> trial = chooser.trial(states.values(), request, nowNanos);
            if (trial.isPresent()) {
                return trial;
            }
        }
        boolean guess = nowNanos - sinceNanos >= PROBE_LIMIT_NANOS;
        return chooser.choose(states.values(), request, view(request, nowNanos), guess);
    }

    private void ask(List<UpstreamId> upstreams) {
        probe.ifPresent(asks -> upstreams.forEach(asks::ask));
    }

    private SelectionContext view(DispatchRequest request, long nowNanos) {
        return new SelectionContext(service, usualNanos(request), lastSlot, probe.isPresent(), nowNanos);
    }

    private long usualNanos(DispatchRequest request) {
        return times.usualNanos(request.kind());
    }

    private List<UpstreamId> upstreamsToAsk(DispatchRequest request, long nowNanos) {
        if (probe.isEmpty()) {
            return List.of();
        }
        return chooser.toAsk(states.values(), request, view(request, nowNanos)).stream()
                .filter(state -> pacer.tryAsk(state, nowNanos))
                .map(UpstreamState::id)
                .toList();
    }

    @Override
    public synchronized void measuringBudget(int messagesPerSecond) {
        pacer.budget(messagesPerSecond);
    }

    /** Whether calls wait, so that {@link #expire} is to be called within milliseconds. */
    public synchronized boolean hasWaiting() {
        return waiting.size() > 0;
    }

    /** Takes the load that an upstream told a probe. */
    public void probed(UpstreamId upstream, ReportedLoad load, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            UpstreamState state = states.get(upstream);
            if (state != null) {
                observe(state, load, state.inFlight, nowNanos);
            }
            admitWaiting(completions, nowNanos);
        }
        completions.run(nowNanos);
    }

    private Optional<RefusedException> refusal(DispatchRequest request, long nowNanos) {
        if (health.usable() == 0) {
            return Optional.of(new RefusedException(
                            RefusalReason.NO_UPSTREAM, "every upstream of the service is leaving or none exists")
                    .withRetryAfter(comeBack(nowNanos)));
        }
        int ahead = ahead(request, nowNanos);
        long waitNanos = (ahead + 1) * gapNanos();
        if (QueueAdmissionPolicy.mayWait(request, waitNanos, usualNanos(request), nowNanos)) {
            return Optional.empty();
        }
        return Optional.of(new RefusedException(
                        RefusalReason.DEADLINE_TOO_SHORT,
                        ahead + " calls wait and each place takes " + gapNanos() / 1_000_000 + " ms")
                .withRetryAfter(comeBack(nowNanos)));
    }

    private int ahead(DispatchRequest request, long nowNanos) {
        return waiting.ahead(request, this::usualNanos, nowNanos);
    }

    private RefusedException tooLate(DispatchRequest request, long nowNanos) {
        return new RefusedException(
                        RefusalReason.DEADLINE_TOO_SHORT,
                        "a call usually takes " + usualNanos(request) / 1_000_000 + " ms")
                .withRetryAfter(comeBack(nowNanos));
    }

    private Duration comeBack(long nowNanos) {
        return returns.next(waiting.size() * gapNanos(), gapNanos(), nowNanos);
    }

    /** The usual time between two calls that end while every place is taken. */
    private long gapNanos() {
        int places = 0;
        for (UpstreamState state : states.values()) {
            if (state.usable() && !state.health.ejected()) {
                places += Math.max(1, state.slots - 1);
            }
        }
        return times.meanNanos() / Math.max(1, places);
    }

    private Place take(UpstreamState state, DispatchRequest request, long nowNanos) {
        boolean last = state.slots > 1 && state.inFlight >= state.slots - 1;
        if (last) {
            lastSlot.used(nowNanos);
        }
        state.inFlight++;
        state.tried = true;
        state.connections.taken(request.origin().daemon());
        boolean trial = state.health.trialDue(nowNanos);
        if (trial) {
            state.health.trialStarted();
        }
        return new Place(state, request, last, trial, nowNanos);
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
            admitWaiting(completions, nowNanos);
            refuseExpired(completions, nowNanos);
        }
        completions.run(nowNanos);
    }

    @Override
    public synchronized void slots(int slotsPerUpstream, long nowNanos) {
        int before = settings.slots();
        settings = new DispatcherSettings(slotsPerUpstream, settings.failureDomain(), settings.waitingBytes());
        states.values().stream()
                .filter(state -> state.slots == before)
                .forEach(state -> state.slots = slotsPerUpstream);
    }

    @Override
    public void update(List<Upstream> upstreams, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            Map<UpstreamId, Upstream> wanted = new LinkedHashMap<>();
            upstreams.forEach(upstream -> wanted.put(upstream.id(), upstream));
            List<UpstreamState> gone = states.values().stream()
                    .filter(state -> !state.upstream().equals(wanted.get(state.id())))
                    .toList();
            gone.forEach(this::retire);
            upstreams.forEach(upstream -> states.computeIfAbsent(upstream.id(), id -> add(upstream, nowNanos)));
            updated = true;
            membersChanged();
            admitWaiting(completions, nowNanos);
        }
        completions.run(nowNanos);
    }

    private void retire(UpstreamState state) {
        if (state.usable()) {
            health.retire(state);
        }
        state.removed = true;
        states.remove(state.id());
    }

    private UpstreamState add(Upstream upstream, long nowNanos) {
        UpstreamState state = new UpstreamState(upstream, settings);
        if (updated) {
            state.health.startSlowly(nowNanos);
        }
        return state;
    }

    private void membersChanged() {
        health.setUsable(states.values().stream().filter(UpstreamState::usable).toList());
    }

    @Override
    public synchronized void markLeaving(UpstreamId upstream, long nowNanos) {
        leave(states.get(upstream));
    }

    private void leave(UpstreamState state) {
        if (state != null && state.usable()) {
            state.leaving = true;
            health.retire(state);
            membersChanged();
        }
    }

    private void refuseExpired(DeferredCompletions completions, long nowNanos) {
        for (QueuedCall call : waiting.removeExpired(this::usualNanos, nowNanos)) {
            completions.refused(
                    call,
                    new RefusedException(RefusalReason.DEADLINE_TOO_SHORT, "no place became free in time")
                            .withRetryAfter(comeBack(nowNanos)));
        }
    }

    private void admitWaiting(DeferredCompletions completions, long nowNanos) {
        while (true) {
            Optional<PriorityCallQueue.Entry> next = waiting.next(this::usualNanos, nowNanos);
            if (next.isEmpty()) {
                return;
            }
            QueuedCall call = next.get().call();
            Optional<UpstreamState> state = choose(call, next.get().sinceNanos(), nowNanos);
            if (state.isEmpty()) {
                List<UpstreamId> toAsk = upstreamsToAsk(call.request(), nowNanos);
                completions.afterwards(() -> ask(toAsk));
                return;
            }
            waiting.remove(call);
            completions.granted(call, take(state.get(), call.request(), nowNanos));
        }
    }

    private void release(Place place, DispatchResult result, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            UpstreamState state = place.state;
            state.inFlight--;
            if (state.usable()) {
                recordLoad(state, result, nowNanos);
                recordHealth(place, result, nowNanos);
            }
            if (result.kind() == DispatchResult.Kind.ANSWERED) {
                times.answered(place.request.kind(), nowNanos - place.startNanos);
                state.connections.returned(place.request.origin().daemon(), nowNanos);
            }
            if (result.leaving()) {
                leave(state);
            }
            admitWaiting(completions, nowNanos);
            refuseExpired(completions, nowNanos);
        }
        completions.run(nowNanos);
    }

    /** Latencies are compared relative to what is usual for the kind of call. */
    private void recordHealth(Place place, DispatchResult result, long nowNanos) {
        long usual = times.usualNanos(place.request.kind());
        long took = nowNanos - place.startNanos;
        if (usual > 0 && result.kind() == DispatchResult.Kind.ANSWERED) {
            lastSlot.answered(place.last, (double) took / usual);
        }
        long comparable = usual == 0 ? COMPARABLE_NANOS : Math.round((double) COMPARABLE_NANOS * took / usual);
        health.record(place.state, healthKind(place.state, result), place.trial, comparable, nowNanos);
    }

    private void recordLoad(UpstreamState state, DispatchResult result, long nowNanos) {
        boolean full =
                result.load().map(load -> load.inFlight() >= load.slots()).orElse(true);
        if (result.kind() == DispatchResult.Kind.REFUSED && full) {
            state.blockedUntilNanos = nowNanos + (long) (BLOCKED_SHARE * times.meanNanos());
        }
        // An answer is reported while its own call still counts, a refusal before its call counts.
        int own = result.kind() == DispatchResult.Kind.REFUSED ? state.inFlight : state.inFlight + 1;
        result.load().ifPresent(load -> observe(state, load, own, nowNanos));
    }

    private void observe(UpstreamState state, ReportedLoad load, int own, long nowNanos) {
        state.slots = load.slots();
        int others = Math.max(0, load.inFlight() - own);
        service.observeOthers(others);
        state.load.answered(others, nowNanos);
        state.pace.reported(load.pacePercent() / 100.0, nowNanos);
    }

    /** An upstream that refuses calls although it has free slots is at fault, however busy it says that it is. */
    private static DispatchResult.Kind healthKind(UpstreamState state, DispatchResult result) {
        boolean refusedWithRoom =
                result.kind() == DispatchResult.Kind.REFUSED && !result.leaving() && state.inFlight < state.slots;
        return refusedWithRoom ? DispatchResult.Kind.FAILED : result.kind();
    }

    private final class Place implements Dispatch {
        private final UpstreamState state;
        private final DispatchRequest request;
        private final boolean last;
        private final boolean trial;
        private final long startNanos;
        private boolean released;

        Place(UpstreamState state, DispatchRequest request, boolean last, boolean trial, long startNanos) {
            this.state = state;
            this.request = request;
            this.last = last;
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
            synchronized (CentralDispatcher.this) {
                if (released) {
                    return;
                }
                released = true;
            }
            release(this, result, nowNanos);
        }
    }
}
