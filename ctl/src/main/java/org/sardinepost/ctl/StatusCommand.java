package org.sardinepost.ctl;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.values.Address;
import org.sardinepost.core.routing.UpstreamId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Fetches and prints the status page of a daemon. */
@Command(name = "status", description = "Shows the status of a daemon.")
final class StatusCommand implements Callable<Integer> {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final int HTTP_OK = 200;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "ADDRESS", description = "The daemon's admin-address, IP:PORT.")
    private String address;

    @Override
    public Integer call() throws InterruptedException {
        UpstreamId target = parseAddress();
        HttpResponse<String> response = fetch(target);
        if (response.statusCode() != HTTP_OK) {
            throw new CtlException(
                    CtlException.EXIT_FAILURE,
                    target + " responded with " + response.statusCode()
                            + " instead of a status page; check that it is the admin-address of a daemon");
        }
        spec.commandLine().getOut().print(response.body());
        spec.commandLine().getOut().flush();
        return 0;
    }

    private UpstreamId parseAddress() {
        Parsed<UpstreamId> parsed = new Address().parse(address);
        return parsed.value()
                .orElseThrow(() -> new ParameterException(
                        spec.commandLine(),
                        "ADDRESS: " + parsed.problems().get(0).message() + "; "
                                + parsed.problems().get(0).remedy()));
    }

    private static HttpResponse<String> fetch(UpstreamId target) throws InterruptedException {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + target + "/status"))
                .timeout(RESPONSE_TIMEOUT)
                .build();
        try {
            return client.send(request, BodyHandlers.ofString());
        } catch (IOException e) {
            throw new CtlException(
                    CtlException.EXIT_FAILURE,
                    "no status from " + target + " (" + describe(e)
                            + "); check the address against admin-address in the daemon's settings,"
                            + " and check that the daemon is running");
        }
    }

    /** Returns the message, or the class name since connection failures of the JDK's client have no message. */
    private static String describe(IOException failure) {
        return failure.getMessage() == null ? failure.getClass().getSimpleName() : failure.getMessage();
    }
}
