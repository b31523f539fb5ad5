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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.settings.Source;

/** Guards against new calls to an upstream that told only another daemon that it is leaving. */
@Timeout(60)
class LeavingUpstreamTest {
    private static final int CALLS = 40;

    private final HttpClient caller = HttpClient.newHttpClient();

    @Test
    void aDrainingAnswerToOneDaemonEndsTheCallsOfBoth(@TempDir Path directory) throws Exception {
        try (TestUpstream leaving = new TestUpstream((request, body, response, callback) -> {
                    response.getHeaders().put("Sardinepost-Draining", "1");
                    ok(response, callback);
                });
                TestUpstream staying =
                        new TestUpstream((request, body, response, callback) -> ok(response, callback))) {
            Source text = Source.file(write(directory, leaving, staying));
            try (Daemon first = start(TestDaemon.settings().configuration(text));
                    Daemon second = start(TestDaemon.settings()
                            .configuration(text)
                            .peers(List.of(first.control().peerAddress())))) {
                await(() -> second.control().status().connectedPeers().size() == 1);
                await(() -> first.control().status().connectedPeers().size() == 1);
                while (leaving.requests().isEmpty()) {
                    call(first);
                }
                UpstreamId gone = leaving.upstream().id();
                await(() -> second.control().status().leavingUpstreams().contains(gone));
                int before = leaving.requests().size();
                for (int index = 0; index < CALLS; index++) {
                    call(first);
                    call(second);
                }
                assertThat(leaving.requests()).hasSize(before);
            }
        }
    }

    private static String write(Path directory, TestUpstream leaving, TestUpstream staying) throws Exception {
        Path file = directory.resolve("services.ini");
        Files.writeString(
                file,
                "[text]\nversion = 1\ndaemon-ceiling = 2\n[service booking]\nexternal = true\nhosts = 127.0.0.1\nupstreams = "
                        + leaving.upstream().id() + "@test-1, "
                        + staying.upstream().id() + "@test-1\n");
        return file.toString();
    }

    private static Daemon start(DaemonSettings.Builder settings) throws Exception {
        Daemon daemon = new Daemon(settings.build());
        daemon.start();
        await(() -> daemon.control().status().version() == 1);
        return daemon;
    }

    private void call(Daemon daemon) throws Exception {
        // The client sets the Host header itself from the address, so the service is named by its host entry.
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.callerPort() + "/"))
                .build();
        assertThat(caller.send(request, BodyHandlers.ofString()).statusCode()).isEqualTo(200);
    }

    private static void ok(Response response, Callback callback) {
        response.write(true, StandardCharsets.UTF_8.encode("ok"), callback);
    }

    private interface Condition {
        boolean holds();
    }

    private static void await(Condition condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.holds()) {
            assertThat(System.nanoTime() < end).isTrue();
            Thread.sleep(5);
        }
    }
}
