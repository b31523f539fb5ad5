package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.settings.Source;
import org.sardinepost.daemon.call.UpstreamProber;
import org.sardinepost.daemon.call.UpstreamProtocol;

/**
 * Guards against reading responses without end to the daemon's own requests: what the client keeps of them fills the heap, and
 * the connection is read from long after the request has timed out.
 */
@Timeout(60)
final class EndlessControlResponseTest {
    /** Below the 11 s until a watch of the configuration service times out: no response without end may last until then. */
    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private static final long PROBE_INTERVAL_MILLIS = 300;

    @ParameterizedTest(name = "{0}")
    @MethodSource("org.sardinepost.daemon.EndlessResponseTest#endlessResponses")
    void endProbes(String name, String beginning, String repeated) throws Exception {
        try (EndlessUpstream endless = new EndlessUpstream(beginning, repeated);
                HttpClient client = ProbingMain.startClient()) {
            UpstreamProber prober = new UpstreamProber(client, UpstreamProtocol.untranslated());
            prober.probe(endless.upstream(), "/health", ProbingMain.IGNORING);
            // The first probe may time out before the client is ready to send it.
            Thread.sleep(PROBE_INTERVAL_MILLIS);
            prober.probe(endless.upstream(), "/health", ProbingMain.IGNORING);

            endless.connectionClosed().get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("org.sardinepost.daemon.EndlessResponseTest#endlessResponses")
    void endReadsOfTheConfigurationService(String name, String beginning, String repeated) throws Exception {
        try (EndlessUpstream endless = new EndlessUpstream(beginning, repeated)) {
            Source source = Source.service("http://" + endless.upstream().id() + "/services");
            DaemonSettings.Builder settings = TestDaemon.settings().configuration(source);
            try (Daemon daemon = new Daemon(settings.build(), DaemonExtensions.defaults())) {
                daemon.start();

                endless.connectionClosed().get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
        }
    }

    @Test
    void interimResponsesToProbesDoNotFillTheHeap(@TempDir Path directory) throws Exception {
        try (EndlessUpstream endless = new EndlessUpstream("", "HTTP/1.1 102 Processing\r\n\r\n");
                JavaProcess probing = new JavaProcess(
                        directory.resolve("probing.log"),
                        ProbingMain.class,
                        Integer.toString(endless.upstream().id().port()))) {
            assertThat(probing.waitForExitCode()).isEqualTo(0);
        }
    }
}
