package org.sardinepost.standins.upstream;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import org.eclipse.jetty.client.HttpClient;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.standins.AddressConverter;
import org.sardinepost.standins.HttpUtil;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one stand-in upstream until the process is terminated. */
@Command(
        name = "upstream",
        mixinStandardHelpOptions = true,
        description = "Serves one service on a fixed number of slots.")
public final class UpstreamCommand implements Callable<Integer> {
    @Option(
            names = "--address",
            required = true,
            converter = AddressConverter.class,
            description = "IP:PORT to serve on")
    private UpstreamId address;

    @Option(
            names = "--slots",
            defaultValue = "3",
            description = "requests worked on at once (default: ${DEFAULT-VALUE})")
    private int slots;

    @Option(
            names = "--service-time-ms",
            defaultValue = "10",
            description = "mean service time (default: ${DEFAULT-VALUE})")
    private int serviceTimeMillis;

    @Option(
            names = "--queue",
            defaultValue = "50",
            description = "waiting requests before it refuses (default: ${DEFAULT-VALUE})")
    private int queueLimit;

    @Option(names = "--seed", defaultValue = "1", description = "seed of the service times (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--calls", description = "service to call for each request")
    private Optional<String> calls;

    @Option(names = "--via", converter = AddressConverter.class, description = "daemon for the nested calls")
    private Optional<UpstreamId> via;

    @Override
    public Integer call() throws Exception {
        Behaviour behaviour = new Behaviour(Duration.ofMillis(serviceTimeMillis), false, false, queueLimit);
        Optional<NestedCaller> nestedCaller = Optional.empty();
        if (calls.isPresent() && via.isPresent()) {
            HttpClient client = new HttpClient();
            client.start();
            nestedCaller = Optional.of(new NestedCaller(client, via.get(), calls.get()));
        }
        UpstreamHandler handler =
                new UpstreamHandler(slots, behaviour, seed, Executors.newSingleThreadScheduledExecutor(), nestedCaller);
        HttpUtil.startServer(address, handler).join();
        return 0;
    }
}
