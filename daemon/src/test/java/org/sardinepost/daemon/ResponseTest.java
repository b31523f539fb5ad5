package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinepost.core.text.Service;
import org.sardinepost.daemon.call.BufferedRequest;
import org.sardinepost.daemon.call.BufferedResponse;
import org.sardinepost.daemon.call.UpstreamProtocol;

/** Verifies that a caller never receives a partial response, a modified response or the response to another request. */
final class ResponseTest {
    private static String call(String method, ScriptedUpstream upstream) throws Exception {
        try (Daemon daemon = TestDaemon.start(TestDaemon.settings(), service(upstream))) {
            return call(method, daemon);
        }
    }

    private static String call(String method, Daemon daemon) throws Exception {
        return RawHttpClient.exchange(
                daemon.callerPort(), RawHttpClient.request(method + " / HTTP/1.1", "Host: catalogue"));
    }

    private static Service service(ScriptedUpstream upstream) {
        return Service.builder("catalogue")
                .external(true)
                .answerLimitBytes(8)
                .upstreams(List.of(upstream.upstream()))
                .build();
    }

    @Nested
    final class IncompleteResponses {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
                    "HTTP/1.0 200 OK\r\n\r\nabc",
                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
                    "HTTP/1.1 200 OK\r\nContent-Le",
                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    "no HTTP at all\r\n\r\n",
                })
        void areNotForwarded(String upstreamResponse) throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.closing(upstreamResponse)) {
                String response = call("GET", upstream);

                assertThat(response).startsWith("HTTP/1.1 502 ");
                assertThat(response).contains("\r\nSardinepost-Outcome: unknown\r\n");
                assertThat(response).doesNotContain("\r\n\r\nabc");
            }
        }
    }

    /** Guards against passing on bytes that are no final response in HTTP, and against waiting for more of them. */
    @Nested
    @Timeout(20)
    final class NoFinalResponses {
        private static ScriptedUpstream sending(String statusAndHeaders) throws IOException {
            return ScriptedUpstream.keepingAlive("HTTP/1.1 " + statusAndHeaders + "\r\n\r\n");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "600 Odd\r\nContent-Length: 0",
                    "700 Odd\r\nContent-Length: 0",
                    "999 Odd\r\nContent-Length: 0",
                    "000 Odd\r\nContent-Length: 0",
                    "099 Odd\r\nContent-Length: 0",
                    "0 Odd\r\nContent-Length: 0",
                    "1000 Odd\r\nContent-Length: 0",
                    "abc Odd\r\nContent-Length: 0",
                    "199 Odd\r\nContent-Length: 0",
                    "199 Odd",
                    "204 No Content\r\nContent-Length: 3\r\n\r\nabc",
                    "204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0",
                })
        void areNotForwarded(String statusAndHeaders) throws Exception {
            try (ScriptedUpstream upstream = sending(statusAndHeaders)) {
                assertThat(call("GET", upstream)).startsWith("HTTP/1.1 502 ");
                upstream.connectionClosed().get(1, TimeUnit.SECONDS);
            }
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "200 OK\r\nContent-Length: 0",
                    "204 No Content",
                    "204 No Content\r\nContent-Length: 0",
                    "299 Odd\r\nContent-Length: 0",
                    "304 Not Modified\r\nContent-Length: 3",
                    "418 Odd\r\nContent-Length: 0",
                    "500 Odd\r\nContent-Length: 0",
                    "599 Odd\r\nContent-Length: 0",
                })
        void othersKeepTheirStatus(String statusAndHeaders) throws Exception {
            try (ScriptedUpstream upstream = sending(statusAndHeaders)) {
                assertThat(call("GET", upstream)).startsWith("HTTP/1.1 " + statusAndHeaders.substring(0, 3) + " ");
            }
        }
    }

    /** Responses of upstreams that guarantee to reset the connection if they abort a response. */
    @Nested
    final class ResponsesDelimitedByClose {
        private static final String RESPONSE = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc";

        private final UpstreamProtocol protocol = new UpstreamProtocol() {
            @Override
            public BufferedRequest translateRequest(BufferedRequest own) {
                return own;
            }

            @Override
            public BufferedResponse translateResponse(BufferedRequest sent, BufferedResponse response) {
                return response;
            }

            @Override
            public boolean acceptsCloseDelimitedResponses() {
                return true;
            }
        };

        private String call(ScriptedUpstream upstream) throws Exception {
            DaemonExtensions extensions =
                    DaemonExtensions.builder().upstreamProtocol(protocol).build();
            try (Daemon daemon = TestDaemon.start(TestDaemon.settings(), extensions, service(upstream))) {
                return ResponseTest.call("GET", daemon);
            }
        }

        @Test
        void areCompleteAfterClose() throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.closing(RESPONSE)) {
                String response = call(upstream);

                assertThat(response).startsWith("HTTP/1.1 200 ");
                assertThat(response).endsWith("\r\n\r\nabc");
            }
        }

        @Test
        void areTruncatedAfterReset() throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.resetting(RESPONSE)) {
                String response = call(upstream);

                assertThat(response).startsWith("HTTP/1.1 502 ");
                assertThat(response).doesNotContain("abc");
            }
        }
    }

    @Nested
    final class OversizedResponses {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcdefghi",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabcdefghi\r\n0\r\n\r\n",
                })
        void areRefusedWithReason(String upstreamResponse) throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.keepingAlive(upstreamResponse)) {
                assertThat(call("GET", upstream)).contains("\r\nSardinepost-Reason: answer-too-large\r\n");
            }
        }
    }

    @Nested
    final class CompleteResponses {
        @Test
        void http10WithContentLength() throws Exception {
            try (ScriptedUpstream upstream =
                    ScriptedUpstream.closing("HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc")) {
                assertThat(call("GET", upstream)).endsWith("\r\n\r\nabc");
            }
        }

        @Test
        void skipsInterimResponses() throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.keepingAlive("HTTP/1.1 100 Continue\r\n\r\n"
                    + "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")) {
                assertThat(call("GET", upstream)).endsWith("\r\n\r\na");
            }
        }

        @Test
        void headKeepsContentLengthWithoutBody() throws Exception {
            try (ScriptedUpstream upstream =
                    ScriptedUpstream.keepingAlive("HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n")) {
                String response = call("HEAD", upstream);

                assertThat(response).contains("\r\nContent-Length: 70\r\n");
                assertThat(response).endsWith("\r\n\r\n");
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"204 No Content", "304 Not Modified"})
        void statusesWithoutBody(String status) throws Exception {
            try (ScriptedUpstream upstream =
                    ScriptedUpstream.keepingAlive("HTTP/1.1 " + status + "\r\nETag: \"a\"\r\n\r\n")) {
                String response = call("GET", upstream);

                assertThat(response).startsWith("HTTP/1.1 " + status + "\r\n");
                assertThat(response).contains("\r\nETag: \"a\"\r\n");
            }
        }

        @Test
        void forwardsRedirectsEncodingsAndCookiesUnchanged() throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.keepingAlive(
                            "HTTP/1.1 302 Found\r\nLocation: /b\r\nContent-Encoding: gzip\r\nSet-Cookie: a=b\r\n"
                                    + "Content-Length: 3\r\n\r\nxyz");
                    Daemon daemon = TestDaemon.start(TestDaemon.settings(), service(upstream))) {
                String response = call("GET", daemon) + call("GET", daemon);

                assertThat(response).startsWith("HTTP/1.1 302 Found\r\n");
                assertThat(response).contains("\r\nContent-Encoding: gzip\r\n");
                assertThat(response).endsWith("\r\n\r\nxyz");
                assertThat(upstream.requestHeads()).hasSize(2);
                assertThat(upstream.requestHeads().get(1)).doesNotContain("Cookie");
                assertThat(upstream.requestHeads().get(1)).doesNotContain("Accept-Encoding");
            }
        }
    }

    @Nested
    final class SurplusResponses {
        @Test
        void surplusBytesAreNotUsedForTheNextRequest() throws Exception {
            String twoResponses =
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na" + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb";
            try (ScriptedUpstream upstream = ScriptedUpstream.keepingAlive(twoResponses);
                    Daemon daemon = TestDaemon.start(TestDaemon.settings(), service(upstream))) {
                for (int i = 0; i < 5; i++) {
                    assertThat(call("GET", daemon)).endsWith("\r\n\r\na");
                }
            }
        }
    }

    @Nested
    final class ResponseHeaders {
        @Test
        void removesHopByHopAndForgedHeaders() throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.keepingAlive(RawHttpClient.head(
                            "HTTP/1.1 200 OK",
                            "Connection: keep-alive, X-Hop",
                            "X-Hop: 1",
                            "X-End: 1",
                            "Sardinepost-Outcome: not-run",
                            "Sardinepost-Reason: draining",
                            "Idempotency-Token: forged",
                            "Content-Length: 0"));
                    Daemon daemon = TestDaemon.start(TestDaemon.settings(), service(upstream))) {
                String response = RawHttpClient.exchange(
                        daemon.callerPort(),
                        RawHttpClient.request(
                                "GET / HTTP/1.1",
                                "Host: catalogue",
                                "Connection: X-Req",
                                "X-Req: 1",
                                "TE: trailers",
                                "X-Kept: 1",
                                "Sardinepost-Not-Run: 1"));

                assertThat(response).contains("\r\nX-End: 1\r\n");
                assertThat(response).doesNotContain("X-Hop");
                assertThat(response).contains("\r\nSardinepost-Outcome: answered\r\n");
                assertThat(response).doesNotContain("Sardinepost-Reason");
                assertThat(response).doesNotContain("forged");
                String requestHead = upstream.requestHeads().get(0);
                assertThat(requestHead).contains("\r\nX-Kept: 1\r\n");
                assertThat(requestHead).contains("\r\nSardinepost-Context: service=catalogue; depth=1; attempts=3\r\n");
                assertThat(requestHead).doesNotContain("X-Req");
                assertThat(requestHead).doesNotContain("TE: ");
                assertThat(requestHead).doesNotContain("Sardinepost-Not-Run");
            }
        }
    }
}
