package org.sardinepost.core.token;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;

/**
 * Guards against a duplicate execution, a false "not run", a changed replay and unbounded memory under random sequences
 * of repeated requests, daemon restarts, pauses, network partitions, handovers and expiry. docs/proofs.md has the
 * command for more seeds and tries.
 */
class TokenFuzzTest {
    private static final int STEPS = 250;
    private static final int MAX_NUMBER = 1 << 20;
    /** Changes what each step selects, so that each value produces different sequences from the same jqwik seed. */
    private static final int SALT = Integer.getInteger("sardinepost.fuzz.salt", 0);

    private static final List<String> REQUIRED_EVENTS = List.of(
            "Dispatch",
            "Join",
            "Replay",
            "Unknown",
            "Renewed",
            "Mismatch",
            "Expired",
            "NotIssuer",
            "Frozen",
            "HandedOver",
            "ResponseBudgetFull",
            "executed",
            "reported not-run",
            "forwarded",
            "export refused",
            "adopted",
            "adopted again",
            "adoption refused",
            "token-table-full",
            "draining");

    @Property(seed = "20261204")
    void executesAtMostOnceAndReportsCorrectOutcomes(@ForAll("stepSequences") List<FuzzStep> steps) {
        FuzzSimulation simulation = new FuzzSimulation();
        steps.forEach(simulation::run);
        REQUIRED_EVENTS.forEach(event -> Statistics.label(event)
                .collect(simulation.oracle.events.contains(event))
                .coverage(coverage -> coverage.check(true).count(count -> count > 0)));
    }

    @Provide
    Arbitrary<List<FuzzStep>> stepSequences() {
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, MAX_NUMBER - 1);
        Arbitrary<FuzzStep.Kind> kinds = Arbitraries.frequency(Arrays.stream(FuzzStep.Kind.values())
                .map(kind -> Tuple.of(kind.weight, kind))
                .toList());
        return Combinators.combine(kinds, numbers, numbers)
                .as((kind, first, second) -> new FuzzStep(kind, salted(first), salted(second)))
                .list()
                .ofSize(STEPS);
    }

    private static int salted(int number) {
        return Math.floorMod((number ^ SALT) * 0x9E3779B1, MAX_NUMBER);
    }
}
