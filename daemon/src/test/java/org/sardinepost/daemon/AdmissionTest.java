package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.TokenMode;

/** Verifies that calls with a disallowed caller, depth, deadline or size are refused and never reach an upstream. */
final class AdmissionTest {
    private static final int REQUEST_LIMIT_BYTES = 100;
    private static final int HEADER_LIMIT_BYTES = 2000;
    private static final int HELD_BYTES = 80;

    private ScriptedUpstream upstream;
    private Daemon daemon;

    @BeforeEach
    void start() throws Exception {
        upstream = ScriptedUpstream.keepingAlive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        daemon = TestDaemon.start(
                TestDaemon.settings()
                        .requestLimitBytes(REQUEST_LIMIT_BYTES)
                        .headerLimitBytes(HEADER_LIMIT_BYTES)
                        .heldBytes(HELD_BYTES),
                service("edge").external(true).dependsOn(List.of("inner")).build(),
                service("inner").build());
    }

    private Service.Builder service(String name) {
        return Service.builder(name).tokens(TokenMode.OPTIONAL).upstreams(List.of(upstream.upstream()));
    }

    @AfterEach
    void stop() throws Exception {
        daemon.close();
        upstream.close();
    }

    private String call(String... headers) throws Exception {
        return RawHttpClient.exchange(daemon.callerPort(), RawHttpClient.request("GET / HTTP/1.1", headers));
    }

    @ParameterizedTest
    @CsvSource({
        "edge,, answered",
        "edge:8080,, answered",
        "EDGE,, answered",
        "inner,, caller-not-allowed",
        "inner, service=edge; depth=1; attempts=3, answered",
        "inner, service=edge; depth=10; attempts=3, answered",
        "inner, service=edge; depth=11; attempts=3, call-too-deep",
        "edge, service=inner; depth=1; attempts=3, caller-not-allowed",
        "inner, service=stranger; depth=1; attempts=3, caller-not-allowed",
        "nowhere,, unknown-service",
    })
    void checksCallerAndDepth(String host, String context, String expected) throws Exception {
        String response =
                context == null ? call("Host: " + host) : call("Host: " + host, "Sardinepost-Context: " + context);

        assertThat(response).contains(": " + expected + "\r\n");
        assertThat(upstream.requestHeads()).hasSize(expected.equals("answered") ? 1 : 0);
    }

    @ParameterizedTest
    @CsvSource({"0", "-5"})
    void refusesExpiredDeadline(String millis) throws Exception {
        String response = call("Host: edge", "Sardinepost-Deadline-Ms: " + millis);

        assertThat(response).startsWith("HTTP/1.1 504 ");
        assertThat(response).contains("\r\nSardinepost-Outcome: not-run\r\n");
        assertThat(upstream.requestHeads()).isEmpty();
    }

    @Test
    void forwardsRemainingDeadline() throws Exception {
        call("Host: edge", "Sardinepost-Deadline-Ms: 1500");

        String remainingMillis =
                upstream.requestHeads().get(0).replaceAll("(?s).*Sardinepost-Deadline-Ms: ([0-9]+)\r\n.*", "$1");
        assertThat(Integer.parseInt(remainingMillis)).isAtMost(1500);
        assertThat(Integer.parseInt(remainingMillis)).isAtLeast(1);
    }

    @Test
    void refusesLargeHeaders() throws Exception {
        String response = call("Host: edge", "Big: " + "x".repeat(HEADER_LIMIT_BYTES));

        assertThat(response).startsWith("HTTP/1.1 431 ");
        assertThat(response).contains("\r\nSardinepost-Outcome: not-run\r\n");
    }

    @ParameterizedTest
    @CsvSource({
        "Content-Length: 101, 101, request-too-large",
        "Content-Length: 70, 70, held-bytes-full",
        "Content-Length: 40, 40, answered",
    })
    void limitsBodySize(String lengthHeader, int bytes, String expected) throws Exception {
        String response = RawHttpClient.exchange(
                daemon.callerPort(),
                RawHttpClient.request("POST / HTTP/1.1", "Host: edge", lengthHeader) + "x".repeat(bytes));

        assertThat(response).contains(": " + expected + "\r\n");
        assertThat(upstream.requestHeads()).hasSize(expected.equals("answered") ? 1 : 0);
    }

    @Test
    void limitsChunkedBodySize() throws Exception {
        String chunk = "32\r\n" + "x".repeat(50) + "\r\n";
        String response = RawHttpClient.exchange(
                daemon.callerPort(),
                RawHttpClient.request("POST / HTTP/1.1", "Host: edge", "Transfer-Encoding: chunked") + chunk + chunk
                        + chunk + "0\r\n\r\n");

        assertThat(response).startsWith("HTTP/1.1 503 ");
        assertThat(upstream.requestHeads()).isEmpty();
    }
}
