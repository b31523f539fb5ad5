package org.sardinepost.bench.policies;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Simulates every scenario with all policies and prints a comparison. */
@Command(name = "policies", description = "Compares dispatch policies on the same seeded traces.")
public final class PoliciesCommand implements Runnable {
    private static final String ROW_FORMAT = "%-26s %7s %7s %7s %7s %7s %8s %8s %7s %7s %9s %7s%n";
    private static final Object[] HEADINGS = {
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "/p2c",
        "/ref",
        "failed%",
        "wasted%",
        "to0%",
        "to0 1s%",
        "peer B/s",
        "msg/s"
    };

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the traces (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--only", defaultValue = "", description = "Runs only scenarios whose name contains this text.")
    private String only;

    @Option(
            names = "--budgets",
            split = ",",
            description = "Adds the winner with these measuring budgets, in messages per second over all daemons.")
    private List<Integer> budgets = List.of();

    @Override
    public void run() {
        scenarios().stream()
                .filter(scenario -> scenario.toString().contains(only))
                .forEach(this::compare);
    }

    private static List<Scenario> scenarios() {
        List<Scenario> scenarios = new ArrayList<>();
        for (Deployment deployment : List.of(Deployment.NOVOTNY_ORDER_STATUS, Deployment.PIECE_PERDUE_CATALOGUE)) {
            for (ServiceTime serviceTime : ServiceTime.values()) {
                for (double load : new double[] {0.5, 0.8, 0.95}) {
                    scenarios.add(new Scenario(deployment, serviceTime, load, Fault.NONE));
                }
                for (Fault fault : List.of(Fault.STRAGGLER, Fault.FAIL_FAST, Fault.COLD_START, Fault.DAEMONS_CUT_OFF)) {
                    scenarios.add(new Scenario(deployment, serviceTime, 0.8, fault));
                }
                scenarios.add(new Scenario(deployment, serviceTime, 0.5, Fault.BURST));
            }
        }
        return scenarios;
    }

    private List<Policy> policies() {
        List<Policy> policies = new ArrayList<>(Policies.all());
        for (int budget : budgets) {
            policies.add(
                    Policies.withMeasurements("peers, budget " + budget, Policy.MeasurementType.PEER_LOADS, budget));
            policies.add(Policies.withMeasurements("probes, budget " + budget, Policy.MeasurementType.PROBES, budget));
        }
        return policies;
    }

    private void compare(Scenario scenario) {
        Map<String, SimulationStatistics> statisticsByPolicy = new LinkedHashMap<>();
        for (Policy policy : policies()) {
            statisticsByPolicy.put(policy.name(), new Simulation(scenario, policy, seed).run());
        }
        double baselineMillis = statisticsByPolicy.get(Policies.BASELINE).latencyMillis(99);
        double referenceMillis = statisticsByPolicy.get(Policies.REFERENCE).latencyMillis(99);
        System.out.printf("%n%s, seed %d%n", scenario, seed);
        System.out.printf(ROW_FORMAT, HEADINGS);
        statisticsByPolicy.forEach((name, statistics) -> System.out.printf(
                ROW_FORMAT,
                name,
                formatDecimal(1, statistics.latencyMillis(50)),
                formatDecimal(1, statistics.latencyMillis(99)),
                formatDecimal(1, statistics.latencyMillis(99.9)),
                formatDecimal(2, statistics.latencyMillis(99) / baselineMillis),
                formatDecimal(2, statistics.latencyMillis(99) / referenceMillis),
                formatDecimal(3, statistics.failedPercent()),
                formatDecimal(1, statistics.wastedPercent()),
                formatDecimal(2, statistics.server0Percent()),
                formatDecimal(2, statistics.server0PercentInFirstSecond()),
                Math.round(statistics.peerBytesPerSecond(scenario.deployment().daemons())),
                Math.round(statistics.messagesPerSecond())));
    }

    private static String formatDecimal(int fractionDigits, double value) {
        return String.format(Locale.ROOT, "%." + fractionDigits + "f", value);
    }
}
