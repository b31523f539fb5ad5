package org.sardinepost.standins.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.standins.AddressConverter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the overhead that a daemon adds to a call. Each run alternates between calls sent directly to the upstream
 * and calls sent through the daemon.
 */
@Command(
        name = "overhead",
        mixinStandardHelpOptions = true,
        description = "Compares calls through a daemon with the same calls sent direct.")
public final class OverheadCommand implements Callable<Integer> {
    private static final int MAX_CONNECTIONS = 256;
    private static final int RESPONSE_BYTES = 1_000;
    private static final double MICROS_PER_MILLI = 1e3;

    @Option(
            names = "--daemon",
            required = true,
            converter = AddressConverter.class,
            description = "caller address of a daemon")
    private UpstreamId daemon;

    @Option(
            names = "--upstream",
            required = true,
            converter = AddressConverter.class,
            description = "the service's only upstream")
    private UpstreamId upstream;

    @Option(names = "--service", required = true, description = "service for the calls through the daemon")
    private String service;

    @Option(names = "--daemon-pid", description = "process of the daemon, to report processor time per call")
    private Optional<Long> daemonPid;

    @Option(names = "--seconds", defaultValue = "10", description = "length of each run (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--warm-up-seconds",
            defaultValue = "10",
            description = "uncounted traffic first (default: ${DEFAULT-VALUE})")
    private int warmUpSeconds;

    @Option(
            names = "--rate",
            split = ",",
            defaultValue = "500,1000,2000",
            description = "calls per second of each run, half of them through the daemon (default: ${DEFAULT-VALUE})")
    private List<Integer> rates;

    @Override
    public Integer call() throws Exception {
        HttpClient client = new HttpClient();
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.start();
        try {
            run(client, rates.get(0), warmUpSeconds);
            System.out.println("| calls/s through the daemon | direct p50 ms | p99 ms | daemon p50 ms | p99 ms"
                    + " | added p50 ms | added p99 ms | daemon processor us per call | not answered with 200 |");
            System.out.println("|---|---|---|---|---|---|---|---|---|");
            for (int rate : rates) {
                System.out.println(run(client, rate, seconds));
            }
            return 0;
        } finally {
            client.stop();
        }
    }

    private String run(HttpClient client, int rate, int durationSeconds) throws Exception {
        CallStatistics direct = new CallStatistics();
        CallStatistics proxied = new CallStatistics();
        Caller directCaller = new Caller(client, direct, new WriteLog());
        Caller proxiedCaller = new Caller(client, proxied, new WriteLog());
        Optional<Duration> cpuTimeBefore = daemonPid.flatMap(CpuTime::of);
        OpenLoopGenerator.run(rate * durationSeconds, rate, index -> call(index, directCaller, proxiedCaller));
        Optional<Duration> cpuTimeAfter = daemonPid.flatMap(CpuTime::of);
        double cpuMicrosPerCall = cpuTimeBefore.isPresent() && cpuTimeAfter.isPresent()
                ? cpuTimeAfter.get().minus(cpuTimeBefore.get()).toNanos() / 1e3 / proxied.calls()
                : Double.NaN;
        return formatRow(rate / 2, direct, proxied, cpuMicrosPerCall);
    }

    private CompletableFuture<Void> call(int index, Caller directCaller, Caller proxiedCaller) {
        String requestId = "overhead-" + index;
        return index % 2 == 0
                ? directCaller.read(upstream, service, requestId, RESPONSE_BYTES)
                : proxiedCaller.read(daemon, service, requestId, RESPONSE_BYTES);
    }

    private static String formatRow(int rate, CallStatistics direct, CallStatistics proxied, double cpuMicrosPerCall) {
        double directMedian = direct.percentileMicros(50) / MICROS_PER_MILLI;
        double directP99 = direct.percentileMicros(99) / MICROS_PER_MILLI;
        double proxiedMedian = proxied.percentileMicros(50) / MICROS_PER_MILLI;
        double proxiedP99 = proxied.percentileMicros(99) / MICROS_PER_MILLI;
        return String.format(
                "| %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f | %d |",
                rate,
                directMedian,
                directP99,
                proxiedMedian,
                proxiedP99,
                proxiedMedian - directMedian,
                proxiedP99 - directP99,
                cpuMicrosPerCall,
                direct.unsuccessfulCalls() + proxied.unsuccessfulCalls());
    }
}
