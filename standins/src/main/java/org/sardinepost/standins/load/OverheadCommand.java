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
 * Measures what a daemon adds to a call: every second call goes to the upstream directly, the others through the daemon,
 * all in one run.
 */
@Command(
        name = "overhead",
        mixinStandardHelpOptions = true,
        description = "Compares calls through a daemon with the same calls sent direct.")
public final class OverheadCommand implements Callable<Integer> {
    private static final int MAX_CONNECTIONS = 256;
    private static final int ANSWER_BYTES = 1_000;
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

    private String run(HttpClient client, int rate, int length) throws Exception {
        Tally direct = new Tally();
        Tally proxied = new Tally();
        Caller directCaller = new Caller(client, direct, new WriteLog());
        Caller proxiedCaller = new Caller(client, proxied, new WriteLog());
        Optional<Duration> before = daemonPid.flatMap(ProcessorTime::of);
        Pacer.run(rate * length, rate, i -> call(i, directCaller, proxiedCaller));
        Optional<Duration> after = daemonPid.flatMap(ProcessorTime::of);
        double microsPerCall = before.isPresent() && after.isPresent()
                ? after.get().minus(before.get()).toNanos() / 1e3 / proxied.calls()
                : Double.NaN;
        return row(rate / 2, direct, proxied, microsPerCall);
    }

    private CompletableFuture<Void> call(int i, Caller directCaller, Caller proxiedCaller) {
        String requestId = "overhead-" + i;
        return i % 2 == 0
                ? directCaller.read(upstream, service, requestId, ANSWER_BYTES)
                : proxiedCaller.read(daemon, service, requestId, ANSWER_BYTES);
    }

    private static String row(int rate, Tally direct, Tally proxied, double microsPerCall) {
        double directMedian = direct.percentileMicros(50) / MICROS_PER_MILLI;
        double directTail = direct.percentileMicros(99) / MICROS_PER_MILLI;
        double median = proxied.percentileMicros(50) / MICROS_PER_MILLI;
        double tail = proxied.percentileMicros(99) / MICROS_PER_MILLI;
        return String.format(
                "| %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f | %d |",
                rate,
                directMedian,
                directTail,
                median,
                tail,
                median - directMedian,
                tail - directTail,
                microsPerCall,
                direct.unsuccessful() + proxied.unsuccessful());
    }
}
