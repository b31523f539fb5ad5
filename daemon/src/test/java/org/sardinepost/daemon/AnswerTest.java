package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinepost.core.text.Service;
import org.sardinepost.daemon.call.HeldAnswer;
import org.sardinepost.daemon.call.HeldRequest;
import org.sardinepost.daemon.call.UpstreamProtocol;

/** Guards against callers that receive a part of an answer, an altered answer or the answer to another request. */
final class AnswerTest {
    private static String call(String method, ScriptedUpstream upstream) throws Exception {
        try (Daemon daemon = TestDaemon.start(TestDaemon.settings(), service(upstream))) {
            return call(method, daemon);
        }
    }

    private static String call(String method, Daemon daemon) throws Exception {
        return RawCaller.exchange(daemon.callerPort(), RawCaller.request(method + " / HTTP/1.1", "Host: catalogue"));
    }

    private static Service service(ScriptedUpstream upstream) {
        return Service.builder("catalogue")
                .external(true)
                .answerLimitBytes(8)
                .upstreams(List.of(upstream.upstream()))
                .build();
    }

    @Nested
    final class Incomplete {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0",
                    "HTTP/1.0 200 OK\r\n\r\nabc",
                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
                    "HTTP/1.1 200 OK\r\nContent-Le",
                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    "no HTTP at all\r\n\r\n",
                })
        void noPartIsPassedOn(String answer) throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.closing(answer)) {
                String received = call("GET", upstream);

                assertThat(received).startsWith("HTTP/1.1 502 ");
                assertThat(received).contains("\r\nSardinepost-Outcome: unknown\r\n");
                assertThat(received).doesNotContain("\r\n\r\nabc");
            }
        }
    }

    /** Upstreams that promise to reset a connection on which they break off. */
    @Nested
    final class EndingWithTheConnection {
        private static final String ANSWER = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc";

        private final UpstreamProtocol protocol = new UpstreamProtocol() {
            @Override
            public HeldRequest request(HeldRequest own) {
                return own;
            }

            @Override
            public HeldAnswer answer(HeldRequest sent, HeldAnswer answer) {
                return answer;
            }

            @Override
            public boolean closeEndsAnswer() {
                return true;
            }
        };

        private String call(ScriptedUpstream upstream) throws Exception {
            DaemonParts parts = DaemonParts.builder().upstreamProtocol(protocol).build();
            try (Daemon daemon = TestDaemon.start(TestDaemon.settings(), parts, service(upstream))) {
                return AnswerTest.call("GET", daemon);
            }
        }

        @Test
        void isWholeAfterAClose() throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.closing(ANSWER)) {
                String received = call(upstream);

                assertThat(received).startsWith("HTTP/1.1 200 ");
                assertThat(received).endsWith("\r\n\r\nabc");
            }
        }

        @Test
        void isCutAfterAReset() throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.resetting(ANSWER)) {
                String received = call(upstream);

                assertThat(received).startsWith("HTTP/1.1 502 ");
                assertThat(received).doesNotContain("abc");
            }
        }
    }

    @Nested
    final class TooLarge {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcdefghi",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabcdefghi\r\n0\r\n\r\n",
                })
        void isRefusedWithItsReason(String answer) throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.keepingConnection(answer)) {
                assertThat(call("GET", upstream)).contains("\r\nSardinepost-Reason: answer-too-large\r\n");
            }
        }
    }

    @Nested
    final class Whole {
        @Test
        void oldVersionWithLength() throws Exception {
            try (ScriptedUpstream upstream =
                    ScriptedUpstream.closing("HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc")) {
                assertThat(call("GET", upstream)).endsWith("\r\n\r\nabc");
            }
        }

        @Test
        void interimAnswersAreSkipped() throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.keepingConnection("HTTP/1.1 100 Continue\r\n\r\n"
                    + "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")) {
                assertThat(call("GET", upstream)).endsWith("\r\n\r\na");
            }
        }

        @Test
        void headKeepsTheLengthWithoutBody() throws Exception {
            try (ScriptedUpstream upstream =
                    ScriptedUpstream.keepingConnection("HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n")) {
                String received = call("HEAD", upstream);

                assertThat(received).contains("\r\nContent-Length: 70\r\n");
                assertThat(received).endsWith("\r\n\r\n");
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"204 No Content", "304 Not Modified"})
        void statusWithoutBody(String status) throws Exception {
            try (ScriptedUpstream upstream =
                    ScriptedUpstream.keepingConnection("HTTP/1.1 " + status + "\r\nETag: \"a\"\r\n\r\n")) {
                String received = call("GET", upstream);

                assertThat(received).startsWith("HTTP/1.1 " + status + "\r\n");
                assertThat(received).contains("\r\nETag: \"a\"\r\n");
            }
        }

        @Test
        void redirectsEncodingsAndCookiesPassUnchanged() throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.keepingConnection(
                            "HTTP/1.1 302 Found\r\nLocation: /b\r\nContent-Encoding: gzip\r\nSet-Cookie: a=b\r\n"
                                    + "Content-Length: 3\r\n\r\nxyz");
                    Daemon daemon = TestDaemon.start(TestDaemon.settings(), service(upstream))) {
                String received = call("GET", daemon) + call("GET", daemon);

                assertThat(received).startsWith("HTTP/1.1 302 Found\r\n");
                assertThat(received).contains("\r\nContent-Encoding: gzip\r\n");
                assertThat(received).endsWith("\r\n\r\nxyz");
                assertThat(upstream.heads()).hasSize(2);
                assertThat(upstream.heads().get(1)).doesNotContain("Cookie");
                assertThat(upstream.heads().get(1)).doesNotContain("Accept-Encoding");
            }
        }
    }

    @Nested
    final class OfAnotherRequest {
        @Test
        void bytesAfterAnAnswerAreNeverTheNextAnswer() throws Exception {
            String twoAnswers =
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na" + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb";
            try (ScriptedUpstream upstream = ScriptedUpstream.keepingConnection(twoAnswers);
                    Daemon daemon = TestDaemon.start(TestDaemon.settings(), service(upstream))) {
                for (int i = 0; i < 5; i++) {
                    assertThat(call("GET", daemon)).endsWith("\r\n\r\na");
                }
            }
        }
    }

    @Nested
    final class Headers {
        @Test
        void ofOneConnectionOrForgedAreNotPassedOn() throws Exception {
            try (ScriptedUpstream upstream = ScriptedUpstream.keepingConnection(RawCaller.lines(
                            "HTTP/1.1 200 OK",
                            "Connection: keep-alive, X-Hop",
                            "X-Hop: 1",
                            "X-End: 1",
                            "Sardinepost-Outcome: not-run",
                            "Sardinepost-Reason: draining",
                            "Idempotency-Token: forged",
                            "Content-Length: 0"));
                    Daemon daemon = TestDaemon.start(TestDaemon.settings(), service(upstream))) {
                String received = RawCaller.exchange(
                        daemon.callerPort(),
                        RawCaller.request(
                                "GET / HTTP/1.1",
                                "Host: catalogue",
                                "Connection: X-Req",
                                "X-Req: 1",
                                "TE: trailers",
                                "X-Kept: 1",
                                "Sardinepost-Not-Run: 1"));

                assertThat(received).contains("\r\nX-End: 1\r\n");
                assertThat(received).doesNotContain("X-Hop");
                assertThat(received).contains("\r\nSardinepost-Outcome: answered\r\n");
                assertThat(received).doesNotContain("Sardinepost-Reason");
                assertThat(received).doesNotContain("forged");
                String head = upstream.heads().get(0);
                assertThat(head).contains("\r\nX-Kept: 1\r\n");
                assertThat(head).contains("\r\nSardinepost-Context: service=catalogue; depth=1; attempts=3\r\n");
                assertThat(head).doesNotContain("X-Req");
                assertThat(head).doesNotContain("TE: ");
                assertThat(head).doesNotContain("Sardinepost-Not-Run");
            }
        }
    }
}
