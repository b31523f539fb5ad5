package org.sardinepost.standins;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Waits until every URL responds with status 200. */
@Command(name = "wait", mixinStandardHelpOptions = true, description = "Waits until every URL returns status 200.")
public final class WaitCommand implements Callable<Integer> {
    private static final long POLL_INTERVAL_MILLIS = 100;

    @Option(names = "--seconds", defaultValue = "30", description = "how long to wait (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Parameters(arity = "1..*", description = "URLs to ask")
    private List<String> urls;

    @Override
    public Integer call() throws Exception {
        HttpClient client = new HttpClient();
        client.start();
        try {
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            for (String url : urls) {
                if (!waitForOk(client, url, endNanos)) {
                    System.err.println(url + " did not respond with status 200 within " + seconds
                            + " s; check the log of its process");
                    return 1;
                }
            }
            return 0;
        } finally {
            client.stop();
        }
    }

    private static boolean waitForOk(HttpClient client, String url, long endNanos) throws InterruptedException {
        while (System.nanoTime() < endNanos) {
            try {
                if (client.GET(url).getStatus() == 200) {
                    return true;
                }
            } catch (ExecutionException | TimeoutException e) {
                // The server is not available yet.
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        return false;
    }
}
