package org.sardinepost.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;
import org.sardinepost.core.admission.CallGroup;
import org.sardinepost.core.admission.CapacityPolicy;
import org.sardinepost.core.admission.KindDemands;
import org.sardinepost.core.admission.KindReport;
import org.sardinepost.core.admission.LastSlotPolicy;
import org.sardinepost.core.admission.PriorityCallQueue;
import org.sardinepost.core.admission.QueueAdmissionPolicy;
import org.sardinepost.core.admission.QueuedCall;
import org.sardinepost.core.admission.RetryAfterSchedule;
import org.sardinepost.core.admission.ServiceTimeEstimator;
import org.sardinepost.core.admission.ValueCapacityPolicy;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/**
 * Assigns the calls of one service for all daemons of the fleet.
 *
 * <p>Because it sees every call of the service, it only dispatches a call to an upstream that can start it immediately.
 * Other calls stay queued here, so that each can still go to whichever upstream becomes free first. Futures complete
 * outside the lock, so that callbacks may call the dispatcher again.
 */
public final class CentralDispatcher implements Dispatcher {
    /**
     * The time for which an upstream that refused a call for lack of capacity gets no calls, as a fraction of the mean
     * service time.
     */
    private static final double REFUSAL_BACKOFF_FRACTION = 0.25;

    /**
     * The duration of three probe rounds. A call queued for longer may go to an upstream that the budget did not allow
     * to probe.
     */
    private static final long MAX_PROBE_WAIT_NANOS = Duration.ofMillis(24).toNanos();

    /**
     * Under overload each response gives way to the next call, so that no call waits for a probe. A coordinator with an
     * outdated list would not learn then that an upstream in use has become cold.
     */
    private static final long WARM_UP_PROBE_INTERVAL_NANOS =
            Duration.ofMillis(200).toNanos();

    /**
     * Latencies are normalized so that the typical latency of each kind of call has this value, which makes upstreams
     * comparable.
     */
    private static final long NORMALIZED_LATENCY_NANOS = Duration.ofMillis(100).toNanos();

    /** Callers wait for at most this fraction of the time that they have left. */
    private static final double MAX_RETRY_AFTER_FRACTION = 1.0 / 3;

    private final CentralUpstreamSelector selector;
    private final Optional<LoadProbe> probe;
    private final ProbeRateLimiter probeRateLimiter = new ProbeRateLimiter();
    private final ServiceAverages averages = new ServiceAverages();
    private final OutlierDetector outlierDetector = new OutlierDetector(averages);
    private final ServiceSlowdown slowdown = new ServiceSlowdown();
    private final LastSlotPolicy lastSlotPolicy = new LastSlotPolicy();
    private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
    private final KindDemands demands = new KindDemands();
    private final CapacityPolicy capacityPolicy;
    private final PriorityCallQueue queue;
    private final RetryAfterSchedule retryAfterSchedule = new RetryAfterSchedule();
    private final Map<UpstreamId, UpstreamState> states = new LinkedHashMap<>();
    private final ColdUpstreams cold;
    private final RefusingUpstreams refusing;
    private final ConnectionPreferences connectionPreferences;
    private final ConnectionUses connectionUses = new ConnectionUses();
    private DispatcherSettings settings;
    private boolean initialized;

    /**
     * Creates a dispatcher.
     *
     * @param probe requests the load of upstreams; responses are passed to {@link #recordProbeResponse}; empty if upstreams are
     *     not probed
     */
    public CentralDispatcher(DispatcherSettings settings, RandomGenerator random, Optional<LoadProbe> probe) {
        this(settings, random, probe, nowNanos -> true);
    }

    /**
     * Creates a dispatcher of a daemon that may not always send calls to cold upstreams.
     *
     * @param mayPlaceOnCold returns whether it may at a time, on the monotonic clock
     */
    public CentralDispatcher(
            DispatcherSettings settings,
            RandomGenerator random,
            Optional<LoadProbe> probe,
            LongPredicate mayPlaceOnCold) {
        this(
                settings,
                random,
                probe,
                mayPlaceOnCold,
                new ValueCapacityPolicy(),
                new RefusingUpstreams(),
                new ConnectionPreferences());
    }

    CentralDispatcher(
            DispatcherSettings settings,
            RandomGenerator random,
            Optional<LoadProbe> probe,
            LongPredicate mayPlaceOnCold,
            CapacityPolicy capacityPolicy,
            RefusingUpstreams refusing,
            ConnectionPreferences connectionPreferences) {
        this.refusing = refusing;
        this.connectionPreferences = connectionPreferences;
        this.cold = new ColdUpstreams(mayPlaceOnCold);
        this.settings = settings;
        this.probe = probe;
        this.selector = new CentralUpstreamSelector(random);
        this.capacityPolicy = capacityPolicy;
        this.queue = new PriorityCallQueue(capacityPolicy, serviceTimes, demands);
    }

    @Override
    public CompletableFuture<Dispatch> acquire(DispatchRequest request, long nowNanos) {
        CompletableFuture<Dispatch> future = new CompletableFuture<>();
        QueuedCall call;
        List<Upstream> toProbe;
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            long typicalNanos = serviceTimes.typicalNanos(request.kind());
            boolean tooSlow = QueueAdmissionPolicy.cannotMeetDeadline(request, typicalNanos, nowNanos);
            if (tooSlow && !trialDue(request, nowNanos)) {
                demands.recordRefusedAtOnce(request);
                return CompletableFuture.failedFuture(
                        deadlineTooShort(new QueuedCall(request, future), typicalNanos, nowNanos));
            }
            call = tooSlow ? QueuedCall.serviceTimeTrial(request, future) : new QueuedCall(request, future);
            demands.recordArrival(request, serviceTimes.workNanos(request.kind()), nowNanos);
            connectionPreferences.recordArrival(request, nowNanos);
            if (queue.ahead(call, nowNanos).calls() == 0 && leavesReservedSlots(call, nowNanos)) {
                Optional<UpstreamState> state = selectUpstream(call, queue.size(), nowNanos, nowNanos);
                if (state.isPresent()) {
                    recordTrialStart(call, nowNanos);
                    return CompletableFuture.completedFuture(grant(state.get(), call, nowNanos));
                }
            }
            Optional<UpstreamState> overflow = selectForOverflow(call, nowNanos);
            if (overflow.isPresent()) {
                recordTrialStart(call, nowNanos);
                return CompletableFuture.completedFuture(grant(overflow.get(), call, nowNanos));
            }
            Optional<RefusedException> refusal = checkAdmission(call, nowNanos);
            if (refusal.isPresent()) {
                demands.recordRefusedAtOnce(request);
                return CompletableFuture.failedFuture(refusal.get());
            }
            recordTrialStart(call, nowNanos);
            queue.add(call, nowNanos);
            refuseDisplaced(call, completions, nowNanos);
            toProbe = upstreamsToProbe(call, nowNanos);
            if (queue.size() == 2
                    || queue.hasRestrictedCalls()
                    || (queue.size() > 2 && mayBeOvertaken(call, queue.size(), nowNanos))) {
                // A call that was alone may have waited for a probe by choice, which it no longer does. Others may wait
                // for upstreams that are not closed to the new call.
                dispatchQueued(completions, nowNanos);
            }
        }
        completions.complete(nowNanos);
        sendProbes(toProbe);
        var unused = future.whenComplete((dispatch, failure) -> removeCancelled(call));
        return future;
    }

    private Optional<UpstreamState> selectUpstream(QueuedCall call, int othersQueued, long queuedNanos, long nowNanos) {
        DispatchRequest request = call.request();
        if (outlierDetector.ejectedCount() > 0) {
            Optional<UpstreamState> trial = selector.selectForTrial(states.values(), request, cold, nowNanos);
            if (trial.isPresent()) {
                return trial;
            }
        }
        boolean assumeNormalSpeed = nowNanos - queuedNanos >= MAX_PROBE_WAIT_NANOS;
        SelectionContext context = selectionContext(call, nowNanos);
        return selector.select(states.values(), request, context, assumeNormalSpeed)
                .filter(state -> !shouldWaitForProbe(state, call, othersQueued, context, nowNanos - queuedNanos));
    }

    /** Returns an upstream closed for its refusals, for a new call that the open upstreams cannot start in time. */
    private Optional<UpstreamState> selectForOverflow(QueuedCall call, long nowNanos) {
        if (refusing.isEmpty()) {
            return Optional.empty();
        }
        long waitNanos = waitBehindNanos(call, queue.ahead(call, nowNanos), 1, openUpstreams(nowNanos), nowNanos);
        boolean openSuffice = CentralUpstreamSelector.hasOpenUpstream(
                        states.values(), call.request(), selectionContext(call, nowNanos))
                && QueueAdmissionPolicy.mayQueue(call.request(), waitNanos, typicalNanos(call), nowNanos);
        return openSuffice ? Optional.empty() : selectClosed(call, nowNanos);
    }

    private Optional<UpstreamState> selectClosed(QueuedCall call, long nowNanos) {
        if (refusing.isEmpty()) {
            return Optional.empty();
        }
        SelectionContext context = selectionContext(call, nowNanos).forOverflow();
        return selector.select(states.values(), call.request(), context, true)
                .filter(state -> !call.request().excluded().contains(state.id()));
    }

    private Collection<UpstreamState> openUpstreams(long nowNanos) {
        return refusing.open(states.values(), nowNanos);
    }

    private boolean shouldWaitForProbe(
            UpstreamState selected, QueuedCall call, int othersQueued, SelectionContext context, long waitedNanos) {
        return probe.isPresent()
                && ProbeWaitPolicy.mayWait(
                        call.request(),
                        waitedNanos,
                        othersQueued > 0 && !mayBeOvertaken(call, othersQueued + 1, context.nowNanos()),
                        context.nowNanos())
                && ProbeWaitPolicy.isWorthWaiting(
                        CentralUpstreamSelector.cost(selected, call.request(), context),
                        CentralUpstreamSelector.lowestUnknownCost(states.values(), call.request(), context));
    }

    /** Returns whether a call may wait for a probe while others are queued, because they may start before it. */
    private boolean mayBeOvertaken(QueuedCall call, int queuedCalls, long nowNanos) {
        return probe.isPresent()
                && connectionPreference(call, nowNanos).applies()
                && ProbeWaitPolicy.mayOvertake(queuedCalls, freeSlots(call, openUpstreams(nowNanos), nowNanos));
    }

    private ConnectionPreference connectionPreference(QueuedCall call, long nowNanos) {
        return connectionPreferences.preference(call.request(), states.values(), nowNanos);
    }

    /** Returns whether to send a call for which the typical service time is too long, in case that it has changed. */
    private boolean trialDue(DispatchRequest request, long nowNanos) {
        return request.deadlineNanos() - nowNanos > 0 && serviceTimes.trialDue(request.kind(), nowNanos);
    }

    private void recordTrialStart(QueuedCall call, long nowNanos) {
        if (call.serviceTimeTrial()) {
            serviceTimes.trialStarted(call.request().kind(), nowNanos);
        }
    }

    private void sendProbes(List<Upstream> upstreams) {
        probe.ifPresent(loadProbe -> upstreams.forEach(loadProbe::send));
    }

    private SelectionContext selectionContext(QueuedCall call, long nowNanos) {
        return new SelectionContext(
                averages,
                typicalNanos(call),
                lastSlotPolicy,
                probe.isPresent(),
                slowdown.persists(),
                cold,
                refusing,
                false,
                connectionPreference(call, nowNanos),
                nowNanos);
    }

    private long typicalNanos(QueuedCall call) {
        return call.serviceTimeTrial()
                ? 0
                : serviceTimes.typicalNanos(call.request().kind());
    }

    private List<Upstream> upstreamsToProbe(QueuedCall call, long nowNanos) {
        if (probe.isEmpty()) {
            return List.of();
        }
        return selector.probeTargets(states.values(), call.request(), selectionContext(call, nowNanos)).stream()
                .filter(state -> probeRateLimiter.tryAcquire(state, nowNanos))
                .map(UpstreamState::upstream)
                .toList();
    }

    @Override
    public synchronized void setMeasuringBudget(int messagesPerSecond) {
        probeRateLimiter.setBudget(messagesPerSecond);
    }

    /**
     * Returns whether calls are queued, in which case {@link #expireQueuedCalls} must be called within milliseconds.
     */
    public synchronized boolean hasQueuedCalls() {
        return queue.size() > 0;
    }

    /** Records the load that an upstream reported in response to a probe. */
    public void recordProbeResponse(UpstreamId upstream, ReportedLoad load, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            UpstreamState state = states.get(upstream);
            if (state != null) {
                state.probeTiming.responded(nowNanos);
                recordReportedLoad(state, load, state.inFlight, nowNanos);
            }
            dispatchQueued(completions, nowNanos);
        }
        completions.complete(nowNanos);
    }

    private Optional<RefusedException> checkAdmission(QueuedCall call, long nowNanos) {
        DispatchRequest request = call.request();
        if (outlierDetector.usableCount() == 0) {
            return Optional.of(
                    new RefusedException(RefusalReason.NO_UPSTREAM, "the service has no upstream that accepts calls")
                            .withRetryAfter(retryAfter(call, nowNanos)));
        }
        if (allClosed(request, nowNanos)) {
            return Optional.of(new RefusedException(
                            RefusalReason.NO_UPSTREAM, "every upstream has asked the calling daemon for no calls")
                    .withRetryAfter(retryAfter(call, nowNanos)));
        }
        Optional<RefusedException> onlyCold = cold.refusalIfUnavailable(states.values(), nowNanos);
        if (onlyCold.isPresent()) {
            return onlyCold;
        }
        PriorityCallQueue.Backlog ahead = queue.ahead(call, nowNanos);
        long waitNanos = waitBehindNanos(call, ahead, 1, states.values(), nowNanos);
        if (QueueAdmissionPolicy.mayQueue(request, waitNanos, typicalNanos(call), nowNanos)) {
            return Optional.empty();
        }
        demands.recordMiss(request, nowNanos);
        return Optional.of(new RefusedException(
                        overloadReason(nowNanos),
                        ahead.calls() + " calls are queued ahead and a slot becomes free every "
                                + completionIntervalNanos(states.values(), nowNanos) / 1_000_000 + " ms")
                .withRetryAfter(retryAfter(call, nowNanos)));
    }

    /** Returns why a call is refused that cannot start in time. */
    private RefusalReason overloadReason(long nowNanos) {
        return cold.allCold(states.values(), nowNanos)
                ? RefusalReason.UPSTREAMS_COLD
                : RefusalReason.DEADLINE_TOO_SHORT;
    }

    private boolean allClosed(DispatchRequest request, long nowNanos) {
        return !request.closedUntilNanos().isEmpty()
                && states.values().stream()
                        .filter(UpstreamState::usable)
                        .allMatch(state -> request.isClosed(state.id(), nowNanos));
    }

    /**
     * Returns the expected wait behind queued calls and further ones of the mean service time. While upstreams are cold,
     * their rate decides and not the service times, which may be unknown.
     *
     * @param counted the upstreams whose capacity counts
     */
    private long waitBehindNanos(
            QueuedCall call,
            PriorityCallQueue.Backlog ahead,
            int furtherCalls,
            Collection<UpstreamState> counted,
            long nowNanos) {
        return cold.isEmpty(nowNanos)
                ? waitNanos(call, ahead.workNanos() + furtherCalls * serviceTimes.meanNanos(), counted, nowNanos)
                : Math.max(0, ahead.calls() + furtherCalls - unreservedSlots(call, counted, nowNanos))
                        * completionIntervalNanos(counted, nowNanos);
    }

    /**
     * Returns the expected wait of a call.
     *
     * @param workNanos the processing time of the calls that must start before another call than this one can
     * @param counted the upstreams whose capacity counts
     */
    private long waitNanos(QueuedCall call, long workNanos, Collection<UpstreamState> counted, long nowNanos) {
        int freeSlots = unreservedSlots(call, counted, nowNanos);
        // The mean service time only decides while slots are in use: otherwise no call would be served to correct it.
        long remainingNanos = Math.max(0, workNanos - freeSlots * serviceTimes.meanNanos());
        return drainNanos(remainingNanos, counted, nowNanos);
    }

    /** Returns the time in which the slots of upstreams do some work. */
    private long drainNanos(long workNanos, Collection<UpstreamState> counted, long nowNanos) {
        if (cold.isEmpty(nowNanos)) {
            return workNanos / usableSlots(counted);
        }
        double calls = (double) workNanos / Math.max(1, serviceTimes.meanNanos());
        return (long) (calls * completionIntervalNanos(counted, nowNanos));
    }

    private int unreservedSlots(QueuedCall call, Collection<UpstreamState> counted, long nowNanos) {
        return Math.max(0, freeSlots(call, counted, nowNanos) - reservedSlots(call, nowNanos));
    }

    private int freeSlots(QueuedCall call, Collection<UpstreamState> counted, long nowNanos) {
        SelectionContext context = selectionContext(call, nowNanos);
        int open = selector.freeSlots(counted, call.request(), context);
        return refusing.isEmpty() ? open : open + selector.freeSlots(counted, call.request(), context.forOverflow());
    }

    private int reservedSlots(QueuedCall call, long nowNanos) {
        return capacityPolicy.reservedSlots(call.request(), demands, nowNanos);
    }

    /** Returns whether enough slots stay free for more urgent calls if a call starts. */
    private boolean leavesReservedSlots(QueuedCall call, long nowNanos) {
        int reservedSlots = reservedSlots(call, nowNanos);
        return reservedSlots == 0 || freeSlots(call, openUpstreams(nowNanos), nowNanos) > reservedSlots;
    }

    private boolean mayStart(CallGroup group, long nowNanos) {
        return group.underserved() || leavesReservedSlots(group.first().call(), nowNanos);
    }

    /** Refuses the calls that cannot start in time, or find no place in the queue, because of a new call. */
    private void refuseDisplaced(QueuedCall added, DeferredCompletions completions, long nowNanos) {
        for (QueuedCall call : queue.removeDisplaced(
                added, workNanos -> waitNanos(added, workNanos, states.values(), nowNanos), nowNanos)) {
            demands.recordMiss(call.request(), nowNanos);
            demands.recordDisplaced(call.request(), nowNanos);
            completions.refuse(
                    call,
                    new RefusedException(RefusalReason.DEADLINE_TOO_SHORT, "more urgent calls arrived")
                            .withRetryAfter(retryAfter(call, nowNanos)));
        }
        queue.removeExcess().ifPresent(call -> {
            demands.recordDisplaced(call.request(), nowNanos);
            completions.refuse(
                    call,
                    new RefusedException(RefusalReason.QUEUE_FULL, queue.size() + " more urgent calls are queued")
                            .withRetryAfter(retryAfter(call, nowNanos)));
        });
    }

    private RefusedException deadlineTooShort(QueuedCall call, long typicalNanos, long nowNanos) {
        return new RefusedException(
                        RefusalReason.DEADLINE_TOO_SHORT,
                        "the typical service time is " + typicalNanos / 1_000_000 + " ms")
                .withRetryAfter(retryAfter(call, nowNanos));
    }

    private Duration retryAfter(QueuedCall call, long nowNanos) {
        Collection<UpstreamState> counted = refusing.withCapacity(states.values(), nowNanos);
        return retryAfterSchedule.nextDelay(
                waitBehindNanos(call, queue.ahead(call, nowNanos), 0, counted, nowNanos),
                completionIntervalNanos(counted, nowNanos),
                (long) (MAX_RETRY_AFTER_FRACTION * (call.request().deadlineNanos() - nowNanos)),
                nowNanos);
    }

    /** Returns the typical time between two completions while every slot is in use. */
    private long completionIntervalNanos(Collection<UpstreamState> counted, long nowNanos) {
        return cold.isEmpty(nowNanos)
                ? serviceTimes.meanNanos() / usableSlots(counted)
                : cold.completionIntervalNanos(counted, serviceTimes.meanNanos(), nowNanos);
    }

    private static int usableSlots(Collection<UpstreamState> counted) {
        int usableSlots = 0;
        for (UpstreamState state : counted) {
            if (state.usable() && !state.ejection.ejected()) {
                usableSlots += Math.max(1, state.slots - 1);
            }
        }
        return Math.max(1, usableSlots);
    }

    private GrantedDispatch grant(UpstreamState state, QueuedCall call, long nowNanos) {
        boolean inLastSlot = state.slots > 1 && state.inFlight >= state.slots - 1;
        if (inLastSlot) {
            lastSlotPolicy.recordUse(nowNanos);
        }
        connectionUses.record(state, states.values(), call.request(), selectionContext(call, nowNanos));
        cold.recordDispatch(state.id(), nowNanos);
        refusing.recordDispatch(state, nowNanos);
        state.inFlight++;
        demands.recordDispatch(call.request(), nowNanos);
        state.hasReceivedCall = true;
        state.idleConnections.acquire(call.request().origin().daemon());
        boolean trial = state.ejection.trialDue(nowNanos);
        if (trial) {
            state.ejection.trialStarted();
        }
        return new GrantedDispatch(state, call, inLastSlot, trial, nowNanos);
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
            dispatchQueued(completions, nowNanos);
            refuseExpired(completions, nowNanos);
            List<Upstream> toProbe = upstreamsToProbeForWarmUp(nowNanos);
            completions.thenRun(() -> sendProbes(toProbe));
        }
        completions.complete(nowNanos);
    }

    /** Returns the upstreams in use that may have become cold since they were last probed. */
    private List<Upstream> upstreamsToProbeForWarmUp(long nowNanos) {
        if (probe.isEmpty() || !cold.enabled()) {
            return List.of();
        }
        return states.values().stream()
                .filter(state -> state.usable()
                        && state.inFlight > 0
                        && nowNanos - state.probeTiming.lastSentNanos() >= WARM_UP_PROBE_INTERVAL_NANOS)
                .filter(state -> probeRateLimiter.tryAcquire(state, nowNanos))
                .map(UpstreamState::upstream)
                .toList();
    }

    @Override
    public synchronized void setDefaultSlots(int slotsPerUpstream, long nowNanos) {
        int previousSlots = settings.slots();
        settings = new DispatcherSettings(slotsPerUpstream, settings.failureDomain(), settings.maxQueuedBytes());
        states.values().stream()
                .filter(state -> state.slots == previousSlots)
                .forEach(state -> state.slots = slotsPerUpstream);
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

    /**
     * Records the remaining cold time that a process reported in response to a probe; zero if it is warm. Ignored if another
     * process is at its address now.
     */
    public synchronized void recordWarmUpReport(Upstream upstream, Duration remaining, long nowNanos) {
        UpstreamState state = states.get(upstream.id());
        if (state != null && state.upstream().equals(upstream)) {
            cold.recordReport(upstream.id(), remaining, nowNanos);
        }
    }

    @Override
    public synchronized int coldUpstreams(long nowNanos) {
        return cold.count(states.keySet(), nowNanos);
    }

    @Override
    public synchronized long callsToCold() {
        return cold.paced();
    }

    @Override
    public synchronized List<KindReport> kindReports(long nowNanos) {
        return demands.reports(queue, nowNanos);
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
    public synchronized long placements(ConnectionUse use) {
        return connectionUses.count(use);
    }

    @Override
    public void setUpstreams(List<Upstream> upstreams, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            Map<UpstreamId, Upstream> updatedById = new LinkedHashMap<>();
            upstreams.forEach(upstream -> updatedById.put(upstream.id(), upstream));
            List<UpstreamState> removed = states.values().stream()
                    .filter(state -> !state.upstream().equals(updatedById.get(state.id())))
                    .toList();
            removed.forEach(this::removeUpstream);
            upstreams.forEach(upstream -> states.computeIfAbsent(upstream.id(), id -> createState(upstream, nowNanos)));
            initialized = true;
            upstreamsChanged();
            dispatchQueued(completions, nowNanos);
        }
        completions.complete(nowNanos);
    }

    private void removeUpstream(UpstreamState state) {
        if (state.usable()) {
            outlierDetector.remove(state);
        }
        state.removed = true;
        states.remove(state.id());
        cold.discardReport(state.id());
    }

    private UpstreamState createState(Upstream upstream, long nowNanos) {
        UpstreamState state = new UpstreamState(upstream, settings);
        if (initialized) {
            state.ejection.beginSlowStart(nowNanos);
        }
        return state;
    }

    private void upstreamsChanged() {
        outlierDetector.setUsableUpstreams(
                states.values().stream().filter(UpstreamState::usable).toList());
    }

    private void recordRefusals(UpstreamState state, DispatchResult result, long nowNanos) {
        refusing.record(state, result, states.values(), cold, nowNanos);
        refusing.keepHalfOpen(states.values(), cold, nowNanos);
    }

    @Override
    public synchronized void markLeaving(UpstreamId upstream, long nowNanos) {
        setLeaving(states.get(upstream));
    }

    private void setLeaving(UpstreamState state) {
        if (state != null && state.usable()) {
            state.leaving = true;
            outlierDetector.remove(state);
            upstreamsChanged();
        }
    }

    private void refuseExpired(DeferredCompletions completions, long nowNanos) {
        refuseIfOnlyColdLeft(completions, nowNanos);
        for (QueuedCall call : queue.removeExpired(nowNanos)) {
            Optional<UpstreamState> overflow =
                    QueueAdmissionPolicy.cannotMeetDeadline(call.request(), typicalNanos(call), nowNanos)
                            ? Optional.empty()
                            : selectClosed(call, nowNanos);
            if (overflow.isPresent()) {
                completions.grant(call, grant(overflow.get(), call, nowNanos));
                continue;
            }
            demands.recordMiss(call.request(), nowNanos);
            demands.recordRefusedAfterWait(call.request());
            completions.refuse(
                    call,
                    new RefusedException(overloadReason(nowNanos), "no upstream had capacity in time")
                            .withRetryAfter(retryAfter(call, nowNanos)));
        }
    }

    /** Refuses the queued calls if only cold upstreams are left that this daemon may not use, so that none waits in vain. */
    private void refuseIfOnlyColdLeft(DeferredCompletions completions, long nowNanos) {
        while (queue.size() > 0) {
            Optional<RefusedException> refusal = cold.refusalIfUnavailable(states.values(), nowNanos);
            if (refusal.isEmpty()) {
                return;
            }
            QueuedCall call =
                    queue.next(group -> true, Set.of(), nowNanos).orElseThrow().call();
            queue.remove(call);
            demands.recordRefusedAfterWait(call.request());
            completions.refuse(call, refusal.get());
        }
    }

    private void dispatchQueued(DeferredCompletions completions, long nowNanos) {
        dispatchToOpen(completions, nowNanos);
        dispatchOverflow(completions, nowNanos);
    }

    /** Dispatches the queued calls in their order. A call to which upstreams are closed does not block those behind it. */
    private void dispatchToOpen(DeferredCompletions completions, long nowNanos) {
        Set<QueuedCall> blocked = new HashSet<>();
        while (true) {
            Optional<PriorityCallQueue.Entry> next = queue.next(group -> mayStart(group, nowNanos), blocked, nowNanos);
            if (next.isEmpty()) {
                return;
            }
            QueuedCall call = next.get().call();
            Optional<UpstreamState> state =
                    selectUpstream(call, queue.size() - 1, next.get().queuedNanos(), nowNanos);
            if (state.isEmpty()) {
                List<Upstream> toProbe = upstreamsToProbe(call, nowNanos);
                completions.thenRun(() -> sendProbes(toProbe));
                boolean othersMayStart = !call.request().closedUntilNanos().isEmpty()
                        || (queue.size() > 1 && mayBeOvertaken(call, queue.size(), nowNanos));
                if (!othersMayStart) {
                    return;
                }
                blocked.add(call);
                continue;
            }
            queue.remove(call);
            completions.grant(call, grant(state.get(), call, nowNanos));
        }
    }

    /** Dispatches queued calls that the open upstreams cannot start in time to upstreams that are closed for refusals. */
    private void dispatchOverflow(DeferredCompletions completions, long nowNanos) {
        while (!refusing.isEmpty()) {
            Collection<UpstreamState> open = openUpstreams(nowNanos);
            Optional<QueuedCall> call = queue.firstTooLate(workNanos -> drainNanos(workNanos, open, nowNanos), nowNanos)
                    .map(PriorityCallQueue.Entry::call);
            Optional<UpstreamState> state = call.flatMap(queued -> selectClosed(queued, nowNanos));
            if (state.isEmpty()) {
                return;
            }
            queue.remove(call.get());
            completions.grant(call.get(), grant(state.get(), call.get(), nowNanos));
        }
    }

    private void release(GrantedDispatch dispatch, DispatchResult result, long nowNanos) {
        DeferredCompletions completions = new DeferredCompletions();
        synchronized (this) {
            UpstreamState state = dispatch.state;
            state.inFlight--;
            boolean delayed = dispatch.request.isDelayed(result, nowNanos);
            if (state.usable() && delayed) {
                outlierDetector.recordInconclusive(state, dispatch.trial, nowNanos);
            } else if (state.usable()) {
                recordLoad(state, result, nowNanos);
                recordOutcome(dispatch, result, nowNanos);
                recordRefusals(state, result, nowNanos);
            }
            if (result.kind() == DispatchResult.Kind.ANSWERED) {
                state.idleConnections.release(dispatch.request.origin().daemon(), nowNanos);
                if (!delayed) {
                    recordServiceTime(dispatch, nowNanos);
                }
            }
            if (result.leaving()) {
                setLeaving(state.sameProcessIn(states));
            }
            dispatchQueued(completions, nowNanos);
            refuseExpired(completions, nowNanos);
        }
        completions.complete(nowNanos);
    }

    private void recordServiceTime(GrantedDispatch dispatch, long nowNanos) {
        String kind = dispatch.request.kind();
        long durationNanos = nowNanos - dispatch.startNanos;
        if (dispatch.serviceTimeTrial) {
            serviceTimes.recordTrial(kind, durationNanos, nowNanos);
        }
        serviceTimes.recordResponse(kind, durationNanos, nowNanos);
    }

    /** Normalizes the latency by the typical latency of the kind of call before passing it to the outlier detector. */
    private void recordOutcome(GrantedDispatch dispatch, DispatchResult result, long nowNanos) {
        long typicalNanos = serviceTimes.typicalNanos(dispatch.request.kind());
        long elapsedNanos = nowNanos - dispatch.startNanos;
        if (typicalNanos > 0 && result.kind() == DispatchResult.Kind.ANSWERED) {
            lastSlotPolicy.recordResponse(dispatch.inLastSlot, (double) elapsedNanos / typicalNanos);
        }
        long normalizedNanos = typicalNanos == 0
                ? NORMALIZED_LATENCY_NANOS
                : Math.round((double) NORMALIZED_LATENCY_NANOS * elapsedNanos / typicalNanos);
        outlierDetector.record(
                dispatch.state,
                outlierKind(dispatch.state, result, nowNanos),
                dispatch.trial,
                normalizedNanos,
                nowNanos);
    }

    private void recordLoad(UpstreamState state, DispatchResult result, long nowNanos) {
        boolean reportedFull =
                result.load().map(load -> load.inFlight() >= load.slots()).orElse(true);
        if (result.kind() == DispatchResult.Kind.REFUSED && reportedFull) {
            state.backoffUntilNanos = nowNanos + (long) (REFUSAL_BACKOFF_FRACTION * serviceTimes.meanNanos());
        }
        // The load on a response still includes the call of this response; the load on a refusal does not include the
        // refused call.
        int ownInFlight = result.kind() == DispatchResult.Kind.REFUSED ? state.inFlight : state.inFlight + 1;
        result.load().ifPresent(load -> recordReportedLoad(state, load, ownInFlight, nowNanos));
    }

    private void recordReportedLoad(UpstreamState state, ReportedLoad load, int ownInFlight, long nowNanos) {
        state.slots = load.slots();
        int otherInFlight = Math.max(0, load.inFlight() - ownInFlight);
        averages.recordOtherInFlight(otherInFlight, nowNanos);
        state.load.recordResponse(otherInFlight, nowNanos);
        state.hostSlowdown.recordReport(load.slowdownPercent() / 100.0, nowNanos);
        slowdown.recordReport(state.hostSlowdown.slow(), nowNanos);
    }

    /**
     * Treats a refusal by an upstream that has free slots by this dispatcher's own count as a failure. If the upstream asked
     * for a time without calls, which the refused daemon honors, or reports free slots too, so that it is closed, only many
     * refusals in a row are a failure.
     */
    private DispatchResult.Kind outlierKind(UpstreamState state, DispatchResult result, long nowNanos) {
        boolean closedInstead = RefusingUpstreams.asksForTimeWithoutCalls(result) || refusing.isUnexplained(result);
        if (closedInstead && !state.refusals.refusesAll() && !cold.isCold(state.id(), nowNanos)) {
            return result.kind();
        }
        boolean refusedWithFreeSlots =
                result.kind() == DispatchResult.Kind.REFUSED && !result.leaving() && state.inFlight < state.slots;
        return refusedWithFreeSlots ? DispatchResult.Kind.FAILED : result.kind();
    }

    private final class GrantedDispatch implements Dispatch {
        private final UpstreamState state;
        private final DispatchRequest request;
        private final boolean serviceTimeTrial;
        private final boolean inLastSlot;
        private final boolean trial;
        private final long startNanos;
        private boolean released;

        GrantedDispatch(UpstreamState state, QueuedCall call, boolean inLastSlot, boolean trial, long startNanos) {
            this.state = state;
            this.request = call.request();
            this.serviceTimeTrial = call.serviceTimeTrial();
            this.inLastSlot = inLastSlot;
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
