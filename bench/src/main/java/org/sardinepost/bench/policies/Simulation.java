package org.sardinepost.bench.policies;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.sardinepost.core.measuring.MeasuringBudget;
import org.sardinepost.core.measuring.ProbeSelector;
import org.sardinepost.core.retry.RetryBudget;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.routing.JointDispatcher;
import org.sardinepost.core.routing.OwnLoad;
import org.sardinepost.core.routing.ReportedLoad;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;

/** Simulates one policy on the trace of one scenario. The trace depends only on the scenario and the seed. */
final class Simulation {
    private static final double RETRY_BUDGET_SHARE = 0.1;
    private static final int MAX_ATTEMPTS = 4;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long CONTROL_TICK_NANOS = 100_000_000;

    private final Scenario scenario;
    private final Policy policy;
    private final EventLoop loop = new EventLoop();
    private final SimulationStatistics statistics = new SimulationStatistics();
    private final SplittableRandom arrivalRandom;
    private final SplittableRandom serviceTimeRandom;
    private final List<Server> servers = new ArrayList<>();
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final List<RetryBudget> retryBudgets = new ArrayList<>();
    private final int[] outstandingCalls;

    Simulation(Scenario scenario, Policy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        SplittableRandom rootRandom = new SplittableRandom(seed);
        this.arrivalRandom = rootRandom.split();
        this.serviceTimeRandom = rootRandom.split();
        Deployment deployment = scenario.deployment();
        this.outstandingCalls = new int[deployment.servers()];
        for (int i = 0; i < deployment.servers(); i++) {
            servers.add(new Server(i, scenario, policy.serverQueueLimit().applyAsInt(deployment), loop));
        }
        for (int i = 0; i < deployment.daemons(); i++) {
            dispatchers.add(policy.dispatcherFactory().create(this, i, rootRandom.split()));
            retryBudgets.add(new RetryBudget(RETRY_BUDGET_SHARE));
        }
    }

    Scenario scenario() {
        return scenario;
    }

    EventLoop loop() {
        return loop;
    }

    /** Returns the number of calls sent to a server and not yet completed. Only the reference policy may use it. */
    int outstandingCalls(int serverIndex) {
        return outstandingCalls[serverIndex];
    }

    SimulationStatistics run() {
        List<Upstream> upstreams = scenario.deployment().upstreams();
        List<Upstream> initialUpstreams = upstreams.subList(scenario.firstInitialServer(), upstreams.size());
        dispatchers.forEach(dispatcher -> dispatcher.setUpstreams(initialUpstreams, 0));
        loop.scheduleAt(
                Scenario.FAULT_START_NANOS,
                () -> dispatchers.forEach(dispatcher -> dispatcher.setUpstreams(upstreams, loop.now())));
        loop.schedulePeriodically(
                CONTROL_TICK_NANOS,
                Scenario.END_NANOS,
                () -> dispatchers.forEach(dispatcher -> dispatcher.expireQueuedCalls(loop.now())));
        startMeasurements();
        scheduleNextArrival();
        loop.run();
        return statistics;
    }

    private void scheduleNextArrival() {
        double gapSeconds = -Math.log(1 - arrivalRandom.nextDouble()) / scenario.arrivalsPerSecond(loop.now());
        loop.scheduleAfter((long) (gapSeconds * 1e9), () -> {
            if (loop.now() < Scenario.END_NANOS) {
                handleArrival();
                scheduleNextArrival();
            }
        });
    }

    private void handleArrival() {
        int daemonIndex = arrivalRandom.nextInt(scenario.deployment().daemons());
        long serviceTimeNanos = scenario.serviceTime().sample(serviceTimeRandom);
        retryBudgets.get(daemonIndex).recordCall(loop.now());
        startAttempt(new Call(loop.now(), daemonIndex, serviceTimeNanos));
    }

    private void startAttempt(Call call) {
        call.attempts++;
        DispatchRequest request = new DispatchRequest(call.deadlineNanos(), 0, 0, call.excludedUpstreams);
        var unused = dispatchers
                .get(call.daemonIndex)
                .acquire(request, loop.now())
                .whenComplete((dispatch, refusal) -> {
                    if (refusal != null) {
                        statistics.recordFailedCall(call);
                    } else {
                        send(call, dispatch);
                    }
                });
    }

    private void send(Call call, Dispatch dispatch) {
        int serverIndex = Deployment.serverIndex(dispatch.upstream());
        long delayNanos = scenario.deployment().oneWayDelayNanos(call.daemonIndex, serverIndex);
        statistics.recordDispatch(serverIndex, loop.now());
        outstandingCalls[serverIndex]++;
        loop.scheduleAfter(delayNanos, () -> servers.get(serverIndex).receive(call, result -> {
            outstandingCalls[serverIndex]--;
            loop.scheduleAfter(delayNanos, () -> handleResult(call, dispatch, result));
        }));
    }

    private void handleResult(Call call, Dispatch dispatch, DispatchResult result) {
        DispatchResult visibleResult =
                policy.loadInResponses() ? result : new DispatchResult(result.kind(), Optional.empty(), false);
        dispatch.complete(visibleResult, loop.now());
        if (result.kind() == DispatchResult.Kind.ANSWERED) {
            statistics.recordAnsweredCall(call, loop.now());
            return;
        }
        statistics.recordWastedDispatch(loop.now());
        call.excludedUpstreams.add(dispatch.upstream());
        boolean retry = call.attempts < MAX_ATTEMPTS && loop.now() < call.deadlineNanos();
        if (retry && retryBudgets.get(call.daemonIndex).tryRetry(loop.now())) {
            startAttempt(call);
        } else {
            statistics.recordFailedCall(call);
        }
    }

    private void startMeasurements() {
        for (int i = 0; i < dispatchers.size() && policy.measurementType() != Policy.MeasurementType.NONE; i++) {
            int daemonIndex = i;
            long offset = SECOND_NANOS * daemonIndex / dispatchers.size();
            loop.scheduleAfter(offset, () -> {
                MeasuringBudget budget = new MeasuringBudget(
                        policy.messagesPerSecond(), scenario.deployment().daemons(), loop.now());
                scheduleMeasurement(daemonIndex, budget, daemonIndex);
            });
        }
    }

    /** Sends a message as soon as the daemon's share of the measuring budget permits, then schedules the next peer. */
    private void scheduleMeasurement(int daemonIndex, MeasuringBudget budget, int lastPeerIndex) {
        loop.scheduleAfter(budget.waitNanos(loop.now()), () -> {
            int peerIndex = (lastPeerIndex + 1) % dispatchers.size();
            peerIndex = peerIndex == daemonIndex ? (peerIndex + 1) % dispatchers.size() : peerIndex;
            if (budget.tryTake(loop.now())) {
                statistics.recordMeasurement();
                sendMeasurement(daemonIndex, peerIndex);
            }
            if (loop.now() < Scenario.END_NANOS) {
                scheduleMeasurement(daemonIndex, budget, peerIndex);
            }
        });
    }

    private void sendMeasurement(int daemonIndex, int peerIndex) {
        JointDispatcher dispatcher = (JointDispatcher) dispatchers.get(daemonIndex);
        if (policy.measurementType() == Policy.MeasurementType.PROBES) {
            ProbeSelector.select(dispatcher.probeCandidates(loop.now()))
                    .ifPresent(id -> probe(dispatcher, daemonIndex, id));
            return;
        }
        List<OwnLoad> loads = dispatcher.ownLoads();
        statistics.recordPeerBytes(LoadBatchSize.bytes(loads));
        if (!scenario.losesPeerMessages(loop.now())) {
            Map<UpstreamId, Integer> inFlight =
                    loads.stream().collect(Collectors.toMap(OwnLoad::upstream, OwnLoad::inFlight));
            JointDispatcher receiver = (JointDispatcher) dispatchers.get(peerIndex);
            long delayNanos = scenario.deployment().oneWayDelayNanos(daemonIndex, peerIndex);
            loop.scheduleAfter(delayNanos, () -> receiver.updatePeerLoad(daemonIndex, inFlight, loop.now()));
        }
    }

    private void probe(JointDispatcher dispatcher, int daemonIndex, UpstreamId id) {
        int serverIndex = Deployment.serverIndex(id);
        long delayNanos = scenario.deployment().oneWayDelayNanos(daemonIndex, serverIndex);
        loop.scheduleAfter(delayNanos, () -> {
            ReportedLoad load = servers.get(serverIndex).load();
            loop.scheduleAfter(delayNanos, () -> dispatcher.recordProbeResponse(id, load, loop.now()));
        });
    }
}
