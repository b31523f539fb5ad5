package org.sardinepost.daemon;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sardinepost.core.routing.ReportedLoad;
import org.sardinepost.core.routing.Upstream;
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
    private static final int HEADER_LIMIT_BYTES = 16 << 10;

    /** Well above the timeout of each request, which is at most 3 s. */
    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private static final long PROBE_INTERVAL_MILLIS = 300;

    private static final UpstreamProber.Listener IGNORING = new UpstreamProber.Listener() {
        @Override
        public void loadReported(Upstream upstream, ReportedLoad load) {}

        @Override
        public void leavingReported(Upstream upstream) {}

        @Override
        public void retryAfterReported(Upstream upstream, Duration delay) {}
    };

    @ParameterizedTest(name = "{0}")
    @MethodSource("org.sardinepost.daemon.EndlessResponseTest#endlessResponses")
    void endProbes(String name, String beginning, String repeated) throws Exception {
        try (EndlessUpstream endless = new EndlessUpstream(beginning, repeated);
                HttpClient client = UpstreamHttpClientFactory.create(HEADER_LIMIT_BYTES)) {
            client.start();
            UpstreamProber prober = new UpstreamProber(client, UpstreamProtocol.untranslated());
            prober.probe(endless.upstream(), "/health", IGNORING);
            // The first probe may time out before the client is ready to send it.
            Thread.sleep(PROBE_INTERVAL_MILLIS);
            prober.probe(endless.upstream(), "/health", IGNORING);

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
}
