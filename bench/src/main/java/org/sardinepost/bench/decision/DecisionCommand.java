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

/** Measures the time and the allocated bytes of one decision together with the report of its result. */
@Command(name = "decision", description = "Measures one dispatch decision and the report of its result.")
public final class DecisionCommand implements Runnable {
    private static final int WARM_UP_ROUNDS = 10;
    private static final int ROUNDS = 10;
    private static final int SLOTS = 4;
    private static final int FIRST_PORT = 1024;
    private static final long STEP_NANOS = 100_000;
    private static final long DEADLINE_NANOS = 2_000_000_000L;

    @Option(names = "--servers", split = ",", defaultValue = "15,3600", description = "Numbers of servers to measure.")
    private List<Integer> serverCounts = List.of();

    @Option(names = "--decisions", defaultValue = "200000", description = "Decisions in one round.")
    private int decisions;

    private long now;

    @Override
    public void run() {
        System.out.printf("%8s %14s %14s %16s%n", "servers", "median ns", "worst ns", "bytes/decision");
        serverCounts.forEach(this::measure);
    }

    private void measure(int servers) {
        JointLoadDispatcher dispatcher =
                new JointLoadDispatcher(DispatcherSettings.of(SLOTS, "domain-0"), new SplittableRandom(1));
        dispatcher.update(upstreams(servers), now);
        Deque<Dispatch> held = new ArrayDeque<>();
        IntStream.range(0, servers).forEach(i -> held.add(acquire(dispatcher)));
        IntStream.range(0, WARM_UP_ROUNDS).forEach(i -> round(dispatcher, held));
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long bytesBefore = threads.getCurrentThreadAllocatedBytes();
        long[] nanos = IntStream.range(0, ROUNDS)
                .mapToLong(i -> round(dispatcher, held))
                .sorted()
                .toArray();
        long bytes = threads.getCurrentThreadAllocatedBytes() - bytesBefore;
        System.out.printf(
                "%8d %14d %14d %16d%n",
                servers, nanos[ROUNDS / 2] / decisions, nanos[ROUNDS - 1] / decisions, bytes / ROUNDS / decisions);
    }

    private long round(JointLoadDispatcher dispatcher, Deque<Dispatch> held) {
        DispatchResult result = new DispatchResult(
                DispatchResult.Kind.ANSWERED, Optional.of(new ReportedLoad(SLOTS - 1, SLOTS)), false);
        long start = System.nanoTime();
        for (int i = 0; i < decisions; i++) {
            now += STEP_NANOS;
            held.removeFirst().finished(result, now);
            held.addLast(acquire(dispatcher));
        }
        return System.nanoTime() - start;
    }

    private Dispatch acquire(JointLoadDispatcher dispatcher) {
        return dispatcher
                .acquire(new DispatchRequest(now + DEADLINE_NANOS, 0, 0, Set.of()), now)
                .join();
    }

    private static List<Upstream> upstreams(int servers) {
        return IntStream.range(0, servers)
                .mapToObj(i -> new Upstream(new UpstreamId("10.0.0.1", FIRST_PORT + i), "domain-" + i % 3))
                .toList();
    }
}
