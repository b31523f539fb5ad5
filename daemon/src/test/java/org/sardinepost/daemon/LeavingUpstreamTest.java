package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.settings.PlacementMode;
import org.sardinepost.core.settings.Source;

/** Verifies that a daemon stops calling a leaving upstream even if the upstream signalled this only to another daemon. */
@Timeout(60)
class LeavingUpstreamTest {
    private static final int CALLS_PER_DAEMON = 40;

    private final HttpClient httpClient = HttpClient.newHttpClient();

    @ParameterizedTest
    @EnumSource(PlacementMode.class)
    void drainingResponseToOneDaemonStopsCallsOfBoth(PlacementMode placement, @TempDir Path directory)
            throws Exception {
        try (TestUpstream leaving = new TestUpstream((request, body, response, callback) -> {
                    response.getHeaders().put("Sardinepost-Draining", "1");
                    respondOk(response, callback);
                });
                TestUpstream remaining =
                        new TestUpstream((request, body, response, callback) -> respondOk(response, callback))) {
            Source servicesText = Source.file(writeServicesText(directory, leaving, remaining));
            try (Daemon first = start(TestDaemon.settings().placement(placement).configuration(servicesText));
                    Daemon second = start(TestDaemon.settings()
                            .placement(placement)
                            .configuration(servicesText)
                            .peers(List.of(first.controlPlane().peerAddress())))) {
                await(() -> second.controlPlane().status().connectedPeers().size() == 1);
                await(() -> first.controlPlane().status().connectedPeers().size() == 1);
                while (leaving.requests().isEmpty()) {
                    call(first);
                }
                UpstreamId leavingId = leaving.upstream().id();
                await(() -> second.controlPlane().status().leavingUpstreams().contains(leavingId));
                int callsBefore = leaving.requests().size();
                for (int index = 0; index < CALLS_PER_DAEMON; index++) {
                    call(first);
                    call(second);
                }
                assertThat(leaving.requests()).hasSize(callsBefore);
            }
        }
    }

    private static String writeServicesText(Path directory, TestUpstream leaving, TestUpstream remaining)
            throws Exception {
        Path file = directory.resolve("services.ini");
        Files.writeString(
                file,
                "[text]\nversion = 1\ndaemon-ceiling = 2\n[service booking]\nexternal = true\nhosts = 127.0.0.1\nupstreams = "
                        + leaving.upstream().id() + "@test-1, "
                        + remaining.upstream().id() + "@test-1\n");
        return file.toString();
    }

    private static Daemon start(DaemonSettings.Builder settings) throws Exception {
        Daemon daemon = new Daemon(settings.build());
        daemon.start();
        await(() -> daemon.controlPlane().status().version() == 1);
        return daemon;
    }

    private void call(Daemon daemon) throws Exception {
        // The client derives the Host header from the address, so the hosts setting of the service has to match it.
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.callerPort() + "/"))
                .build();
        assertThat(httpClient.send(request, BodyHandlers.ofString()).statusCode())
                .isEqualTo(200);
    }

    private static void respondOk(Response response, Callback callback) {
        response.write(true, StandardCharsets.UTF_8.encode("ok"), callback);
    }

    private interface Condition {
        boolean isTrue();
    }

    private static void await(Condition condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.isTrue()) {
            assertThat(System.nanoTime() < deadlineNanos).isTrue();
            Thread.sleep(5);
        }
    }
}
