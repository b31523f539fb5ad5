package org.sardinepost.standins.load;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.standins.AddressConverter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Sends idempotent and non-idempotent calls at a fixed rate, then checks the guarantees to callers against the
 * executions that the upstreams counted.
 */
@Command(name = "load", mixinStandardHelpOptions = true, description = "Sends calls and checks the promises.")
public final class LoadCommand implements Callable<Integer> {
    private static final int MAX_CONNECTIONS = 256;
    private static final int MAX_RESPONSE_BYTES = 20_000;
    private static final double DUPLICATED_WRITE_SHARE = 0.2;
    private static final double MICROS_PER_MILLI = 1e3;

    @Option(
            names = "--daemon",
            required = true,
            converter = AddressConverter.class,
            description = "caller address of a daemon")
    private List<UpstreamId> daemons;

    @Option(names = "--admin", converter = AddressConverter.class, description = "admin address of a daemon")
    private List<UpstreamId> admins = List.of();

    @Option(
            names = "--upstream",
            converter = AddressConverter.class,
            description = "stand-in upstream to ask for executions")
    private List<UpstreamId> upstreams = List.of();

    @Option(names = "--read-service", required = true, description = "service for idempotent calls")
    private String readService;

    @Option(names = "--write-service", required = true, description = "service for non-idempotent calls")
    private String writeService;

    @Option(names = "--seconds", defaultValue = "10", description = "length of the run (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--warm-up-seconds",
            defaultValue = "3",
            description = "traffic before the run that is not counted (default: ${DEFAULT-VALUE})")
    private int warmUpSeconds;

    @Option(names = "--rate", defaultValue = "200", description = "calls per second (default: ${DEFAULT-VALUE})")
    private int rate;

    @Option(
            names = "--write-share",
            defaultValue = "0.2",
            description = "share of non-idempotent calls (default: ${DEFAULT-VALUE})")
    private double writeShare;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of the sequence of calls (default: ${DEFAULT-VALUE})")
    private long seed;

    @Override
    public Integer call() throws Exception {
        HttpClient client = new HttpClient();
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.start();
        try {
            return run(client);
        } finally {
            client.stop();
        }
    }

    private int run(HttpClient client) throws Exception {
        sendCalls(new Caller(client, new CallStatistics(), new WriteLog()), "warm-up", warmUpSeconds);
        CallStatistics statistics = new CallStatistics();
        WriteLog writeLog = new WriteLog();
        sendCalls(new Caller(client, statistics, writeLog), "run", seconds);
        CounterReader counterReader = new CounterReader(client);
        WriteVerdict verdict = WriteVerdict.of(writeLog, counterReader.executionCounts(upstreams));
        return report(statistics, verdict, counterReader.reasonCounts(admins));
    }

    private void sendCalls(Caller caller, String phase, int durationSeconds) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        OpenLoopGenerator.run(durationSeconds * rate, rate, i -> send(caller, random, phase + "-" + seed + "-" + i));
    }

    private CompletableFuture<Void> send(Caller caller, SplittableRandom random, String requestId) {
        UpstreamId daemon = daemons.get(random.nextInt(daemons.size()));
        if (random.nextDouble() >= writeShare) {
            return caller.read(daemon, readService, requestId, random.nextInt(MAX_RESPONSE_BYTES));
        }
        boolean duplicated = random.nextDouble() < DUPLICATED_WRITE_SHARE;
        return caller.write(daemon, duplicated ? daemons : List.of(daemon), writeService, requestId);
    }

    private static int report(CallStatistics statistics, WriteVerdict verdict, Map<String, Long> reasonCounts) {
        System.out.printf("calls: %d%n", statistics.calls());
        System.out.printf("p50: %.2f ms%n", statistics.percentileMicros(50) / MICROS_PER_MILLI);
        System.out.printf("p99: %.2f ms%n", statistics.percentileMicros(99) / MICROS_PER_MILLI);
        statistics
                .responseCounts()
                .forEach((description, count) -> System.out.printf("answers %s: %d%n", description, count));
        reasonCounts.forEach((reason, count) -> System.out.printf("%s: %d%n", reason, count));
        verdict.executions()
                .forEach((times, count) ->
                        System.out.printf("non-idempotent requests run %d times: %d%n", times, count));
        verdict.violations().forEach(violation -> System.out.printf("VIOLATION: %s%n", violation));
        if (statistics.invalidResponses() > 0) {
            System.out.printf(
                    "VIOLATION: %d answers were cut or belong to another request%n", statistics.invalidResponses());
        }
        boolean anySuccess =
                statistics.responseCounts().keySet().stream().anyMatch(description -> description.startsWith("200 "));
        if (!anySuccess) {
            System.out.println("VIOLATION: no call was answered");
        }
        boolean passed = verdict.violations().isEmpty() && statistics.invalidResponses() == 0 && anySuccess;
        System.out.println(passed ? "promises: held" : "promises: BROKEN");
        return passed ? 0 : 1;
    }
}
