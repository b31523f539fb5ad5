package org.sardinepost.bench.decision;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.DispatcherSettings;
import org.sardinepost.core.routing.JointLoadDispatcher;
import org.sardinepost.core.routing.ReportedLoad;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.routing.UpstreamId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the time and the heap allocation of one dispatch decision, including the report of its result. */
@Command(name = "decision", description = "Measures one dispatch decision and the report of its result.")
public final class DecisionCommand implements Runnable {
    private static final int WARM_UP_ROUNDS = 10;
    private static final int ROUNDS = 10;
    private static final int SLOTS = 4;
    private static final int FIRST_PORT = 1024;
    private static final long DECISION_INTERVAL_NANOS = 100_000;
    private static final long DEADLINE_NANOS = 2_000_000_000L;

    @Option(names = "--servers", split = ",", defaultValue = "15,3600", description = "Numbers of servers to measure.")
    private List<Integer> serverCounts = List.of();

    @Option(names = "--decisions", defaultValue = "200000", description = "Decisions in one round.")
    private int decisions;

    private long nowNanos;

    @Override
    public void run() {
        System.out.printf("%8s %14s %14s %16s%n", "servers", "median ns", "worst ns", "bytes/decision");
        serverCounts.forEach(this::measure);
    }

    private void measure(int serverCount) {
        JointLoadDispatcher dispatcher =
                new JointLoadDispatcher(DispatcherSettings.of(SLOTS, "domain-0"), new SplittableRandom(1));
        dispatcher.setUpstreams(upstreams(serverCount), nowNanos);
        Deque<Dispatch> activeDispatches = new ArrayDeque<>();
        IntStream.range(0, serverCount).forEach(i -> activeDispatches.add(acquire(dispatcher)));
        IntStream.range(0, WARM_UP_ROUNDS).forEach(i -> runRound(dispatcher, activeDispatches));
        ThreadMXBean threadMXBean = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long allocatedBytesBefore = threadMXBean.getCurrentThreadAllocatedBytes();
        long[] sortedNanos = IntStream.range(0, ROUNDS)
                .mapToLong(i -> runRound(dispatcher, activeDispatches))
                .sorted()
                .toArray();
        long allocatedBytes = threadMXBean.getCurrentThreadAllocatedBytes() - allocatedBytesBefore;
        System.out.printf(
                "%8d %14d %14d %16d%n",
                serverCount,
                sortedNanos[ROUNDS / 2] / decisions,
                sortedNanos[ROUNDS - 1] / decisions,
                allocatedBytes / ROUNDS / decisions);
    }

    private long runRound(JointLoadDispatcher dispatcher, Deque<Dispatch> activeDispatches) {
        DispatchResult result = new DispatchResult(
                DispatchResult.Kind.ANSWERED, Optional.of(new ReportedLoad(SLOTS - 1, SLOTS)), false);
        long start = System.nanoTime();
        for (int i = 0; i < decisions; i++) {
            nowNanos += DECISION_INTERVAL_NANOS;
            activeDispatches.removeFirst().complete(result, nowNanos);
            activeDispatches.addLast(acquire(dispatcher));
        }
        return System.nanoTime() - start;
    }

    private Dispatch acquire(JointLoadDispatcher dispatcher) {
        return dispatcher
                .acquire(new DispatchRequest(nowNanos + DEADLINE_NANOS, 0, 0, Set.of()), nowNanos)
                .join();
    }

    private static List<Upstream> upstreams(int serverCount) {
        return IntStream.range(0, serverCount)
                .mapToObj(i -> new Upstream(new UpstreamId("10.0.0.1", FIRST_PORT + i), "domain-" + i % 3))
                .toList();
    }
}
