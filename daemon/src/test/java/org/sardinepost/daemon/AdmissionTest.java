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

/** Guards against calls that reach an upstream although caller, depth, deadline or size forbid them. */
final class AdmissionTest {
    private static final int REQUEST_LIMIT_BYTES = 100;
    private static final int HEADER_LIMIT_BYTES = 2000;
    private static final int HELD_BYTES = 80;

    private ScriptedUpstream upstream;
    private Daemon daemon;

    @BeforeEach
    void start() throws Exception {
        upstream = ScriptedUpstream.keepingConnection("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
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
        return RawCaller.exchange(daemon.callerPort(), RawCaller.request("GET / HTTP/1.1", headers));
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
    void dependsOnCallerAndDepth(String host, String context, String expected) throws Exception {
        String received =
                context == null ? call("Host: " + host) : call("Host: " + host, "Sardinepost-Context: " + context);

        assertThat(received).contains(": " + expected + "\r\n");
        assertThat(upstream.heads()).hasSize(expected.equals("answered") ? 1 : 0);
    }

    @ParameterizedTest
    @CsvSource({"0", "-5"})
    void aCallAfterItsDeadlineIsNotDispatched(String millis) throws Exception {
        String received = call("Host: edge", "Sardinepost-Deadline-Ms: " + millis);

        assertThat(received).startsWith("HTTP/1.1 504 ");
        assertThat(received).contains("\r\nSardinepost-Outcome: not-run\r\n");
        assertThat(upstream.heads()).isEmpty();
    }

    @Test
    void theDeadlineTravelsOn() throws Exception {
        call("Host: edge", "Sardinepost-Deadline-Ms: 1500");

        String left = upstream.heads().get(0).replaceAll("(?s).*Sardinepost-Deadline-Ms: ([0-9]+)\r\n.*", "$1");
        assertThat(Integer.parseInt(left)).isAtMost(1500);
        assertThat(Integer.parseInt(left)).isAtLeast(1);
    }

    @Test
    void largeHeadersAreRefused() throws Exception {
        String received = call("Host: edge", "Big: " + "x".repeat(HEADER_LIMIT_BYTES));

        assertThat(received).startsWith("HTTP/1.1 431 ");
        assertThat(received).contains("\r\nSardinepost-Outcome: not-run\r\n");
    }

    @ParameterizedTest
    @CsvSource({
        "Content-Length: 101, 101, request-too-large",
        "Content-Length: 70, 70, held-bytes-full",
        "Content-Length: 40, 40, answered",
    })
    void bodiesAreLimited(String framing, int bytes, String expected) throws Exception {
        String received = RawCaller.exchange(
                daemon.callerPort(), RawCaller.request("POST / HTTP/1.1", "Host: edge", framing) + "x".repeat(bytes));

        assertThat(received).contains(": " + expected + "\r\n");
        assertThat(upstream.heads()).hasSize(expected.equals("answered") ? 1 : 0);
    }

    @Test
    void chunkedBodiesAreLimited() throws Exception {
        String chunk = "32\r\n" + "x".repeat(50) + "\r\n";
        String received = RawCaller.exchange(
                daemon.callerPort(),
                RawCaller.request("POST / HTTP/1.1", "Host: edge", "Transfer-Encoding: chunked") + chunk + chunk + chunk
                        + "0\r\n\r\n");

        assertThat(received).startsWith("HTTP/1.1 503 ");
        assertThat(upstream.heads()).isEmpty();
    }
}
