package org.sardinepost.bench.policies;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints all policies side by side for every scenario. */
@Command(name = "policies", description = "Compares dispatch policies on the same seeded traces.")
public final class PoliciesCommand implements Runnable {
    private static final String ROW = "%-26s %7s %7s %7s %7s %7s %8s %8s %7s %7s %9s %7s%n";
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
        scenarios().stream().filter(s -> s.toString().contains(only)).forEach(this::compare);
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
            policies.add(Policies.measured("peers, budget " + budget, Policy.Measuring.PEERS, budget));
            policies.add(Policies.measured("probes, budget " + budget, Policy.Measuring.PROBES, budget));
        }
        return policies;
    }

    private void compare(Scenario scenario) {
        Map<String, Tally> tallies = new LinkedHashMap<>();
        for (Policy policy : policies()) {
            tallies.put(policy.name(), new Simulation(scenario, policy, seed).run());
        }
        double baselineMillis = tallies.get(Policies.BASELINE).millis(99);
        double referenceMillis = tallies.get(Policies.REFERENCE).millis(99);
        System.out.printf("%n%s, seed %d%n", scenario, seed);
        System.out.printf(ROW, HEADINGS);
        tallies.forEach((name, tally) -> System.out.printf(
                ROW,
                name,
                number(1, tally.millis(50)),
                number(1, tally.millis(99)),
                number(1, tally.millis(99.9)),
                number(2, tally.millis(99) / baselineMillis),
                number(2, tally.millis(99) / referenceMillis),
                number(3, tally.failedPercent()),
                number(1, tally.wastedPercent()),
                number(2, tally.reactedPercent()),
                number(2, tally.earlyPercent()),
                Math.round(tally.peerBytesPerSecond(scenario.deployment().daemons())),
                Math.round(tally.messagesPerSecond())));
    }

    private static String number(int digits, double value) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
