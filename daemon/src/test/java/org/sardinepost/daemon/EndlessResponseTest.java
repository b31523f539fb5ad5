package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.text.Service;

/**
 * Guards against an upstream that sends bytes without end: they must not occupy memory, delay other calls or keep the caller
 * waiting beyond its deadline.
 */
@Timeout(60)
final class EndlessResponseTest {
    private static final Duration DEADLINE = Duration.ofMillis(500);
    private static final Duration OTHER_DEADLINE = Duration.ofSeconds(10);
    private static final long CLOSE_TIMEOUT_SECONDS = 10;
    private static final int OTHER_CALLS = 20;
    private static final long ANSWER_LIMIT_BYTES = 64 << 10;
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    static Stream<Arguments> endlessResponses() {
        return Stream.of(
                Arguments.of("no HTTP", "", "garbage"),
                Arguments.of("line breaks", "", "\r\n"),
                Arguments.of("a status line", "HTTP/1.1 200 ", "a"),
                Arguments.of("a header", "HTTP/1.1 200 OK\r\nX: ", "a"),
                Arguments.of("headers", "HTTP/1.1 200 OK\r\n", "X: a\r\n"),
                Arguments.of("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
                Arguments.of("processing", "", "HTTP/1.1 102 Processing\r\n\r\n"),
                Arguments.of("early hints", "", "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n"),
                Arguments.of("a body until close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "a"),
                Arguments.of("a long body", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "a"),
                Arguments.of("chunks", CHUNKED, "1\r\na\r\n"),
                Arguments.of("a chunk size", CHUNKED, "0"),
                Arguments.of("a chunk extension", CHUNKED + "1;", "a"),
                Arguments.of("trailers", CHUNKED + "0\r\n", "X: a\r\n"),
                Arguments.of("a trailer", CHUNKED + "0\r\nX: ", "a"));
    }

    private static Service service(String name, Duration deadline, Upstream upstream) {
        return Service.builder(name)
                .external(true)
                .deadline(deadline)
                .answerLimitBytes(ANSWER_LIMIT_BYTES)
                .upstreams(List.of(upstream))
                .build();
    }

    private static String call(Daemon daemon, String service) {
        try {
            return RawHttpClient.exchange(
                    daemon.callerPort(), RawHttpClient.request("GET / HTTP/1.1", "Host: " + service));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessResponses")
    void endAtTheDeadlineWithoutHarmToOtherCalls(String name, String beginning, String repeated) throws Exception {
        try (EndlessUpstream endless = new EndlessUpstream(beginning, repeated);
                TestUpstream sound = new TestUpstream(
                        (request, body, response, callback) -> Content.Sink.write(response, true, "sound", callback));
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(),
                        service("endless", DEADLINE, endless.upstream()),
                        service("sound", OTHER_DEADLINE, sound.upstream()))) {
            CompletableFuture<String> failed = CompletableFuture.supplyAsync(() -> call(daemon, "endless"));
            for (int i = 0; i < OTHER_CALLS; i++) {
                assertThat(call(daemon, "sound")).endsWith("sound");
            }

            assertThat(failed.get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)).containsMatch("^HTTP/1.1 50[24] ");
            endless.connectionClosed().get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }
}
