package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardinepost.core.settings.PlacementMode;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.TokenMode;
import org.sardinepost.daemon.call.CallHeaders;

/** Verifies that a daemon sends nothing to an upstream for the time that a Retry-After of the upstream states. */
@Timeout(60)
final class ClosedUpstreamTest {
    private static final int CALLS = 60;

    private final HttpClient httpClient = HttpClient.newHttpClient();

    @ParameterizedTest
    @EnumSource(PlacementMode.class)
    void getsNoMoreCallsWhileOthersServeThem(PlacementMode placement) throws Exception {
        try (TestUpstream closed =
                        new TestUpstream((request, body, response, callback) -> turnAway(response, callback, "30"));
                TestUpstream open =
                        new TestUpstream((request, body, response, callback) -> respondOk(response, callback));
                Daemon daemon = start(placement, closed, open)) {
            for (int i = 0; i < CALLS; i++) {
                assertThat(call(daemon).statusCode()).isEqualTo(200);
            }

            assertThat(closed.requests()).hasSize(1);
        }
    }

    @ParameterizedTest
    @EnumSource(PlacementMode.class)
    void callIsRefusedAtOnceIfEveryUpstreamIsClosed(PlacementMode placement) throws Exception {
        try (TestUpstream first =
                        new TestUpstream((request, body, response, callback) -> turnAway(response, callback, "30"));
                TestUpstream second =
                        new TestUpstream((request, body, response, callback) -> turnAway(response, callback, "20"));
                Daemon daemon = start(placement, first, second)) {
            while (first.requests().isEmpty() || second.requests().isEmpty()) {
                call(daemon);
            }
            long startNanos = System.nanoTime();
            HttpResponse<String> refusal = call(daemon);

            assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofSeconds(1));
            assertThat(refusal.statusCode()).isEqualTo(503);
            assertThat(refusal.headers().firstValue(CallHeaders.OUTCOME)).hasValue("not-run");
            double retryAfter = Double.parseDouble(
                    refusal.headers().firstValue("Retry-After").orElseThrow());
            assertThat(retryAfter).isWithin(3.5).of(20);
            assertWithMessage("requests to closed upstreams")
                    .that(first.requests().size() + second.requests().size())
                    .isEqualTo(2);
        }
    }

    @ParameterizedTest
    @EnumSource(PlacementMode.class)
    void getsCallsAgainAfterTheTime(PlacementMode placement) throws Exception {
        try (TestUpstream upstream =
                        new TestUpstream((request, body, response, callback) -> turnAway(response, callback, "0.3"));
                Daemon daemon = start(placement, upstream)) {
            call(daemon);
            assertThat(upstream.requests()).hasSize(1);
            while (upstream.requests().size() < 2) {
                call(daemon);
                Thread.sleep(10);
            }
        }
    }

    private static void turnAway(Response response, Callback callback, String retryAfter) {
        response.setStatus(503);
        response.getHeaders().put(CallHeaders.NOT_RUN, "1").put("Retry-After", retryAfter);
        response.write(true, StandardCharsets.UTF_8.encode("full"), callback);
    }

    private static void respondOk(Response response, Callback callback) {
        response.write(true, StandardCharsets.UTF_8.encode("ok"), callback);
    }

    private HttpResponse<String> call(Daemon daemon) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.callerPort() + "/"))
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        return httpClient.send(request, BodyHandlers.ofString());
    }

    private static Daemon start(PlacementMode placement, TestUpstream... upstreams) throws Exception {
        Service service = Service.builder("booking")
                .external(true)
                .tokens(TokenMode.OPTIONAL)
                .hosts(List.of("127.0.0.1"))
                .retryBudgetShare(1)
                .upstreams(Stream.of(upstreams).map(TestUpstream::upstream).toList())
                .build();
        return TestDaemon.start(TestDaemon.settings().placement(placement), service);
    }
}
