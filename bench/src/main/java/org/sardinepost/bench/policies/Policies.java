package org.sardinepost.bench.policies;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.sardinepost.bench.policies.Policy.DispatcherFactory;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.routing.DispatcherSettings;
import org.sardinepost.core.routing.JointLoadDispatcher;
import org.sardinepost.core.routing.LeastInFlightDispatcher;

/** The policies that are compared. */
final class Policies {
    static final String BASELINE = "power of two, local";
    static final String REFERENCE = "reference, all-knowing";

    /** 16 messages per second from each of 17 daemons to each of 16 peers, about the limit of 29 KB/s per daemon. */
    static final int PEER_MESSAGES_PER_SECOND = 16 * 17 * 16;

    private Policies() {}

    static List<Policy> all() {
        return List.of(
                withoutMeasurements("random", Policies::random, false, Policies::unlimited),
                withoutMeasurements(
                        "least in flight, local",
                        (s, d, r) -> new LeastInFlightDispatcher(),
                        false,
                        Policies::unlimited),
                withoutMeasurements(BASELINE, Policies::powerOfTwo, false, Policies::unlimited),
                withoutMeasurements("power of two, shed long", Policies::powerOfTwo, false, Deployment::slots),
                withoutMeasurements("joint, local only", Policies::joint, false, Policies::unlimited),
                withoutMeasurements("joint, answers", Policies::joint, true, Policies::unlimited),
                withMeasurements("joint, answers, peers", Policy.MeasurementType.PEER_LOADS, PEER_MESSAGES_PER_SECOND),
                withoutMeasurements("joint, shed long", Policies::joint, true, Deployment::slots),
                withoutMeasurements("joint, shed short", Policies::joint, true, Policies::halfOfSlots),
                withoutMeasurements(REFERENCE, Policies::reference, false, Policies::unlimited));
    }

    /** Returns a policy that sends no measurement messages. */
    private static Policy withoutMeasurements(
            String name,
            DispatcherFactory dispatcherFactory,
            boolean loadInResponses,
            ToIntFunction<Deployment> serverQueueLimit) {
        return new Policy(name, dispatcherFactory, loadInResponses, serverQueueLimit, Policy.MeasurementType.NONE, 0);
    }

    /** Returns a policy of the joint dispatcher that uses the load in responses and has a measuring budget. */
    static Policy withMeasurements(String name, Policy.MeasurementType measurementType, int messagesPerSecond) {
        return new Policy(name, Policies::joint, true, Policies::unlimited, measurementType, messagesPerSecond);
    }

    private static int unlimited(Deployment deployment) {
        return Integer.MAX_VALUE;
    }

    private static int halfOfSlots(Deployment deployment) {
        return Math.max(1, deployment.slots() / 2);
    }

    private static Dispatcher joint(Simulation simulation, int daemonIndex, SplittableRandom random) {
        int slots = simulation.scenario().deployment().slots();
        return new JointLoadDispatcher(DispatcherSettings.of(slots, Deployment.failureDomain(daemonIndex)), random);
    }

    private static Dispatcher random(Simulation simulation, int daemonIndex, SplittableRandom random) {
        return new BaselineDispatcher(serverCount(simulation), baseline -> random.nextInt(baseline.upstreamCount()));
    }

    private static Dispatcher powerOfTwo(Simulation simulation, int daemonIndex, SplittableRandom random) {
        return new BaselineDispatcher(serverCount(simulation), baseline -> {
            int first = random.nextInt(baseline.upstreamCount());
            int second = random.nextInt(baseline.upstreamCount());
            return baseline.inFlight(baseline.serverIndex(first)) <= baseline.inFlight(baseline.serverIndex(second))
                    ? first
                    : second;
        });
    }

    /**
     * Creates the reference dispatcher. It knows the outstanding calls and the current speed of all servers and selects
     * the server with the shortest expected latency.
     */
    private static Dispatcher reference(Simulation simulation, int daemonIndex, SplittableRandom random) {
        return new BaselineDispatcher(serverCount(simulation), baseline -> {
            int bestPosition = 0;
            double shortestNanos = Double.MAX_VALUE;
            int start = random.nextInt(baseline.upstreamCount());
            for (int i = 0; i < baseline.upstreamCount(); i++) {
                int position = (start + i) % baseline.upstreamCount();
                double nanos = expectedLatencyNanos(simulation, daemonIndex, baseline.serverIndex(position));
                if (nanos < shortestNanos) {
                    bestPosition = position;
                    shortestNanos = nanos;
                }
            }
            return bestPosition;
        });
    }

    private static double expectedLatencyNanos(Simulation simulation, int daemonIndex, int serverIndex) {
        Scenario scenario = simulation.scenario();
        long now = simulation.loop().now();
        if (scenario.isFailing(serverIndex, now)) {
            return Double.MAX_VALUE;
        }
        int slots = scenario.deployment().slots();
        int queuedCalls = Math.max(0, simulation.outstandingCalls(serverIndex) + 1 - slots);
        double serviceNanos = Deployment.MEAN_SERVICE_TIME_NANOS * scenario.slowdown(serverIndex, now);
        return 2.0 * scenario.deployment().oneWayDelayNanos(daemonIndex, serverIndex)
                + serviceNanos * (1 + (double) queuedCalls / slots);
    }

    private static int serverCount(Simulation simulation) {
        return simulation.scenario().deployment().servers();
    }
}
