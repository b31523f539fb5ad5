package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinepost.core.routing.Upstream;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.TokenMode;

/** Verifies that requests and responses are forwarded to the right service without losing any part. */
final class ForwardingTest {
    @Test
    void forwardsCompleteRequestAndResponse() throws Exception {
        try (TestUpstream upstream = new TestUpstream((request, body, response, callback) -> {
                    response.setStatus(201);
                    response.getHeaders().put("Piece", "42");
                    Content.Sink.write(response, true, "recut " + body, callback);
                });
                Daemon daemon = TestDaemon.start(TestDaemon.settings(), catalogueService(upstream))) {
            String callerResponse = RawHttpClient.exchange(
                    daemon.callerPort(),
                    RawHttpClient.request("POST /a%2Fb?x=1 HTTP/1.1", "Host: catalogue", "Content-Length: 6")
                            + "corner");

            assertThat(callerResponse).startsWith("HTTP/1.1 201 Created\r\n");
            assertThat(callerResponse).contains("\r\nPiece: 42\r\n");
            assertThat(callerResponse).endsWith("\r\n\r\nrecut corner");
            assertThat(upstream.requests().get(0).getHttpURI().getPathQuery()).isEqualTo("/a%2Fb?x=1");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /caf%E9",
                "GET /a%09b%0Ac",
                "GET /a%5Cb",
                "GET /a%C3",
                "GET /a;b=c/..%2F?x=%E9&y=%00&z=a|b",
                "get /lower",
                "Purge /mixed",
            })
    void forwardsMethodAndTargetUnchanged(String requestLine) throws Exception {
        try (ScriptedUpstream upstream = ScriptedUpstream.keepingAlive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                Daemon daemon = TestDaemon.start(TestDaemon.settings(), catalogueService(upstream.upstream()))) {
            String callerResponse = RawHttpClient.exchange(
                    daemon.callerPort(), RawHttpClient.request(requestLine + " HTTP/1.1", "Host: catalogue"));

            assertThat(callerResponse).startsWith("HTTP/1.1 200 OK\r\n");
            assertThat(upstream.requestHeads().get(0)).startsWith(requestLine + " HTTP/1.1\r\n");
        }
    }

    @Test
    void forwardsATokenOfAnotherProtocolToServicesWithoutTokens() throws Exception {
        try (ScriptedUpstream upstream = ScriptedUpstream.keepingAlive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(),
                        Service.builder("catalogue")
                                .external(true)
                                .tokens(TokenMode.NONE)
                                .upstreams(List.of(upstream.upstream()))
                                .build())) {
            String callerResponse = RawHttpClient.exchange(
                    daemon.callerPort(),
                    RawHttpClient.request("POST / HTTP/1.1", "Host: catalogue", "Idempotency-Token: their own"));

            assertThat(callerResponse).startsWith("HTTP/1.1 200 OK\r\n");
            assertThat(upstream.requestHeads().get(0)).contains("\r\nIdempotency-Token: their own\r\n");
        }
    }

    @Test
    void joinsChunksOfBody() throws Exception {
        try (TestUpstream upstream = new TestUpstream(
                        (request, body, response, callback) -> Content.Sink.write(response, true, body, callback));
                Daemon daemon = TestDaemon.start(TestDaemon.settings(), catalogueService(upstream))) {
            String chunkedBody = "3;note=\"a\"\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nTrailer: x\r\n\r\n";
            String callerResponse = RawHttpClient.exchange(
                    daemon.callerPort(),
                    RawHttpClient.request("POST / HTTP/1.1", "Host: catalogue", "Transfer-Encoding: chunked")
                            + chunkedBody);

            assertThat(callerResponse).endsWith("\r\n\r\nabc0123456789abcdef");
        }
    }

    @Test
    void forwardsLargeHeaders() throws Exception {
        String largeValue = "x".repeat(15_000);
        try (TestUpstream upstream = new TestUpstream((request, body, response, callback) -> {
                    response.getHeaders().put("Large", request.getHeaders().get("Large"));
                    Content.Sink.write(response, true, "", callback);
                });
                Daemon daemon = TestDaemon.start(TestDaemon.settings(), catalogueService(upstream))) {
            String callerResponse = RawHttpClient.exchange(
                    daemon.callerPort(),
                    RawHttpClient.request("GET / HTTP/1.1", "Host: catalogue", "Large: " + largeValue));

            assertThat(callerResponse).contains("\r\nLarge: " + largeValue + "\r\n");
        }
    }

    private static Service catalogueService(TestUpstream upstream) {
        return catalogueService(upstream.upstream());
    }

    private static Service catalogueService(Upstream upstream) {
        return Service.builder("catalogue")
                .external(true)
                .tokens(TokenMode.OPTIONAL)
                .upstreams(List.of(upstream))
                .build();
    }
}
