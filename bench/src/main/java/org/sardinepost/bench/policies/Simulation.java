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

/** Runs one policy over the trace of one scenario: the arrivals and service times depend on the seed only. */
final class Simulation {
    private static final double RETRY_SHARE = 0.1;
    private static final int MAX_ATTEMPTS = 4;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long TICK_NANOS = 100_000_000;

    private final Scenario scenario;
    private final Policy policy;
    private final EventLoop loop = new EventLoop();
    private final Tally tally = new Tally();
    private final SplittableRandom arrivals;
    private final SplittableRandom serviceTimes;
    private final List<Server> servers = new ArrayList<>();
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final List<RetryBudget> budgets = new ArrayList<>();
    private final int[] committed;

    Simulation(Scenario scenario, Policy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        SplittableRandom root = new SplittableRandom(seed);
        this.arrivals = root.split();
        this.serviceTimes = root.split();
        Deployment deployment = scenario.deployment();
        this.committed = new int[deployment.servers()];
        for (int i = 0; i < deployment.servers(); i++) {
            servers.add(new Server(i, scenario, policy.queueLimit().applyAsInt(deployment), loop));
        }
        for (int i = 0; i < deployment.daemons(); i++) {
            dispatchers.add(policy.dispatcher().create(this, i, root.split()));
            budgets.add(new RetryBudget(RETRY_SHARE));
        }
    }

    Scenario scenario() {
        return scenario;
    }

    EventLoop loop() {
        return loop;
    }

    /** Calls sent to a server that it has not yet ended; only the reference may look. */
    int committed(int server) {
        return committed[server];
    }

    Tally run() {
        List<Upstream> upstreams = scenario.deployment().upstreams();
        List<Upstream> first = upstreams.subList(scenario.firstServer(), upstreams.size());
        dispatchers.forEach(dispatcher -> dispatcher.update(first, 0));
        loop.at(Scenario.FAULT_NANOS, () -> dispatchers.forEach(d -> d.update(upstreams, loop.now())));
        loop.every(TICK_NANOS, Scenario.END_NANOS, () -> dispatchers.forEach(d -> d.expire(loop.now())));
        startMeasuring();
        nextArrival();
        loop.run();
        return tally;
    }

    private void nextArrival() {
        double gap = -Math.log(1 - arrivals.nextDouble()) / scenario.arrivalsPerSecond(loop.now());
        loop.after((long) (gap * 1e9), () -> {
            if (loop.now() < Scenario.END_NANOS) {
                arrive();
                nextArrival();
            }
        });
    }

    private void arrive() {
        int daemon = arrivals.nextInt(scenario.deployment().daemons());
        long serviceNanos = scenario.serviceTime().sample(serviceTimes);
        budgets.get(daemon).recordCall(loop.now());
        attempt(new Call(loop.now(), daemon, serviceNanos));
    }

    private void attempt(Call call) {
        call.attempts++;
        DispatchRequest request = new DispatchRequest(call.deadlineNanos(), 0, 0, call.excluded);
        var unused = dispatchers.get(call.daemon).acquire(request, loop.now()).whenComplete((dispatch, refusal) -> {
            if (refusal != null) {
                tally.failed(call);
            } else {
                send(call, dispatch);
            }
        });
    }

    private void send(Call call, Dispatch dispatch) {
        int server = Deployment.server(dispatch.upstream());
        long oneWay = scenario.deployment().oneWayNanos(call.daemon, server);
        tally.dispatched(server, loop.now());
        committed[server]++;
        loop.after(oneWay, () -> servers.get(server).arrive(call, result -> {
            committed[server]--;
            loop.after(oneWay, () -> ended(call, dispatch, result));
        }));
    }

    private void ended(Call call, Dispatch dispatch, DispatchResult result) {
        DispatchResult seen =
                policy.loadOnAnswers() ? result : new DispatchResult(result.kind(), Optional.empty(), false);
        dispatch.finished(seen, loop.now());
        if (result.kind() == DispatchResult.Kind.ANSWERED) {
            tally.answered(call, loop.now());
            return;
        }
        tally.wasted(loop.now());
        call.excluded.add(dispatch.upstream());
        boolean retry = call.attempts < MAX_ATTEMPTS && loop.now() < call.deadlineNanos();
        if (retry && budgets.get(call.daemon).tryRetry(loop.now())) {
            attempt(call);
        } else {
            tally.failed(call);
        }
    }

    private void startMeasuring() {
        for (int i = 0; i < dispatchers.size() && policy.measuring() != Policy.Measuring.NONE; i++) {
            int daemon = i;
            long offset = SECOND_NANOS * daemon / dispatchers.size();
            loop.after(offset, () -> {
                MeasuringBudget share = new MeasuringBudget(
                        policy.messagesPerSecond(), scenario.deployment().daemons(), loop.now());
                measure(daemon, share, daemon);
            });
        }
    }

    /** Spends the daemon's share of the measuring budget message by message, on its peers in turn. */
    private void measure(int daemon, MeasuringBudget share, int lastPeer) {
        loop.after(share.waitNanos(loop.now()), () -> {
            int peer = (lastPeer + 1) % dispatchers.size();
            peer = peer == daemon ? (peer + 1) % dispatchers.size() : peer;
            if (share.tryTake(loop.now())) {
                tally.measured();
                measureOnce(daemon, peer);
            }
            if (loop.now() < Scenario.END_NANOS) {
                measure(daemon, share, peer);
            }
        });
    }

    private void measureOnce(int daemon, int peer) {
        JointDispatcher dispatcher = (JointDispatcher) dispatchers.get(daemon);
        if (policy.measuring() == Policy.Measuring.PROBES) {
            ProbeSelector.select(dispatcher.probeCandidates(loop.now())).ifPresent(id -> probe(dispatcher, daemon, id));
            return;
        }
        List<OwnLoad> loads = dispatcher.ownLoads();
        tally.peerBytes(PeerBatch.bytes(loads));
        if (!scenario.cutOff(loop.now())) {
            Map<UpstreamId, Integer> inFlight =
                    loads.stream().collect(Collectors.toMap(OwnLoad::upstream, OwnLoad::inFlight));
            JointDispatcher receiver = (JointDispatcher) dispatchers.get(peer);
            long oneWay = scenario.deployment().oneWayNanos(daemon, peer);
            loop.after(oneWay, () -> receiver.peerLoads(daemon, inFlight, loop.now()));
        }
    }

    private void probe(JointDispatcher dispatcher, int daemon, UpstreamId id) {
        int server = Deployment.server(id);
        long oneWay = scenario.deployment().oneWayNanos(daemon, server);
        loop.after(oneWay, () -> {
            ReportedLoad load = servers.get(server).load();
            loop.after(oneWay, () -> dispatcher.probed(id, load, loop.now()));
        });
    }
}
