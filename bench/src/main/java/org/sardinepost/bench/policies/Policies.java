package org.sardinepost.bench.policies;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.sardinepost.bench.policies.Policy.DispatcherFactory;
import org.sardinepost.core.routing.Dispatcher;
import org.sardinepost.core.routing.DispatcherSettings;
import org.sardinepost.core.routing.JointLoadDispatcher;
import org.sardinepost.core.routing.LeastInFlightDispatcher;

/** The compared policies. */
final class Policies {
    static final String BASELINE = "power of two, local";
    static final String REFERENCE = "reference, all-knowing";

    /** 16 messages a second from each of 17 daemons to each of 16 peers, about the 29 KB/s that a daemon may send. */
    static final int PEER_MESSAGES = 16 * 17 * 16;

    private Policies() {}

    static List<Policy> all() {
        return List.of(
                free("random", Policies::random, false, Policies::endless),
                free("least in flight, local", (s, d, r) -> new LeastInFlightDispatcher(), false, Policies::endless),
                free(BASELINE, Policies::powerOfTwo, false, Policies::endless),
                free("power of two, shed long", Policies::powerOfTwo, false, Deployment::slots),
                free("joint, local only", Policies::joint, false, Policies::endless),
                free("joint, answers", Policies::joint, true, Policies::endless),
                measured("joint, answers, peers", Policy.Measuring.PEERS, PEER_MESSAGES),
                free("joint, shed long", Policies::joint, true, Deployment::slots),
                free("joint, shed short", Policies::joint, true, Policies::halfTheSlots),
                free(REFERENCE, Policies::reference, false, Policies::endless));
    }

    /** A policy that sends no measuring messages. */
    private static Policy free(
            String name, DispatcherFactory dispatcher, boolean loadOnAnswers, ToIntFunction<Deployment> queueLimit) {
        return new Policy(name, dispatcher, loadOnAnswers, queueLimit, Policy.Measuring.NONE, 0);
    }

    /** The joint dispatcher with answers and a measuring budget. */
    static Policy measured(String name, Policy.Measuring measuring, int messagesPerSecond) {
        return new Policy(name, Policies::joint, true, Policies::endless, measuring, messagesPerSecond);
    }

    private static int endless(Deployment deployment) {
        return Integer.MAX_VALUE;
    }

    private static int halfTheSlots(Deployment deployment) {
        return Math.max(1, deployment.slots() / 2);
    }

    private static Dispatcher joint(Simulation simulation, int daemon, SplittableRandom random) {
        int slots = simulation.scenario().deployment().slots();
        return new JointLoadDispatcher(DispatcherSettings.of(slots, Deployment.domain(daemon)), random);
    }

    private static Dispatcher random(Simulation simulation, int daemon, SplittableRandom random) {
        return new BaselineDispatcher(servers(simulation), state -> random.nextInt(state.size()));
    }

    private static Dispatcher powerOfTwo(Simulation simulation, int daemon, SplittableRandom random) {
        return new BaselineDispatcher(servers(simulation), state -> {
            int one = random.nextInt(state.size());
            int other = random.nextInt(state.size());
            return state.inFlight(state.server(one)) <= state.inFlight(state.server(other)) ? one : other;
        });
    }

    /** Knows every call on every server and how fast each server is, and chooses the shortest expected time. */
    private static Dispatcher reference(Simulation simulation, int daemon, SplittableRandom random) {
        return new BaselineDispatcher(servers(simulation), state -> {
            int best = 0;
            double bestNanos = Double.MAX_VALUE;
            int start = random.nextInt(state.size());
            for (int i = 0; i < state.size(); i++) {
                int position = (start + i) % state.size();
                double nanos = expectedNanos(simulation, daemon, state.server(position));
                if (nanos < bestNanos) {
                    best = position;
                    bestNanos = nanos;
                }
            }
            return best;
        });
    }

    private static double expectedNanos(Simulation simulation, int daemon, int server) {
        Scenario scenario = simulation.scenario();
        long now = simulation.loop().now();
        if (scenario.failing(server, now)) {
            return Double.MAX_VALUE;
        }
        int slots = scenario.deployment().slots();
        int waiting = Math.max(0, simulation.committed(server) + 1 - slots);
        double work = Deployment.MEAN_SERVICE_NANOS * scenario.slowness(server, now);
        return 2.0 * scenario.deployment().oneWayNanos(daemon, server) + work * (1 + (double) waiting / slots);
    }

    private static int servers(Simulation simulation) {
        return simulation.scenario().deployment().servers();
    }
}
