package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinepost.core.text.Service;

/** Guards against request smuggling: requests that daemon and upstream may parse differently must not be forwarded. */
final class MalformedRequestTest {
    private static final String SMUGGLED = "GET /smuggled HTTP/1.1\r\nHost: catalogue\r\n\r\n";

    private TestUpstream upstream;
    private Daemon daemon;

    @BeforeEach
    void start() throws Exception {
        upstream = new TestUpstream(
                (request, body, response, callback) -> Content.Sink.write(response, true, "", callback));
        daemon = TestDaemon.start(
                TestDaemon.settings(),
                Service.builder("catalogue")
                        .external(true)
                        .upstreams(List.of(upstream.upstream()))
                        .build());
    }

    @AfterEach
    void stop() throws Exception {
        daemon.close();
        upstream.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST / HTTP/1.1|Host: catalogue|Content-Length: 4|Transfer-Encoding: chunked||0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: chunked|Content-Length: 4||0||",
                "POST / HTTP/1.1|Host: catalogue|Content-Length: 4|Content-Length: 5||abcde",
                "POST / HTTP/1.1|Host: catalogue|Content-Length: 4|Content-Length: 4||abcd",
                "POST / HTTP/1.1|Host: catalogue|Content-Length: 4, 4||abcd",
                "POST / HTTP/1.1|Host: catalogue|Content-Length: +4||abcd",
                "POST / HTTP/1.1|Host: catalogue|Content-Length: -4||abcd",
                "POST / HTTP/1.1|Host: catalogue|Content-Length: 0x4||abcd",
                "POST / HTTP/1.1|Host: catalogue|Content-Length: 4 4||abcd",
                "POST / HTTP/1.1|Host: catalogue|Content-Length: 99999999999999999999||abcd",
                "POST / HTTP/1.1|Host: catalogue|Content-Length:||abcd",
                "POST / HTTP/1.1|Host: catalogue|Content-Length : 4||abcd",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding : chunked||0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: xchunked||0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: chunked, identity||0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: gzip, chunked||0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: chunked|Transfer-Encoding: chunked||0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: identity||",
                "POST / HTTP/1.0|Host: catalogue|Transfer-Encoding: chunked||0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: chunked||zz|ab|0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: chunked||-1|ab|0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: chunked||0x2|ab|0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: chunked||fffffffff|ab|0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: chunked||2|abcd|0||",
                "POST / HTTP/1.1|Host: catalogue|Transfer-Encoding: chunked||2|ab0||",
                "GET / HTTP/1.1|Host: catalogue|Folded: a| b||",
                "GET / HTTP/1.1|Host: catalogue| Leading: a||",
                "GET / HTTP/1.1|Host: catalogue|Bad Name: a||",
                "GET / HTTP/1.1|Host: catalogue|Bad(Name): a||",
                "GET / HTTP/1.1|Host: catalogue|: a||",
                "GET / HTTP/1.1|Host: catalogue|NoColon||",
                "GET / HTTP/1.1|Host: catalogue|Nul: a\0b||",
                "GET / HTTP/1.1|Host: catalogue|Cr: a\rb||",
                "GET / HTTP/1.1||",
                "GET / HTTP/1.0||",
                "GET / HTTP/1.1|Host:||",
                "GET / HTTP/1.1|Host: catalogue|Host: catalogue||",
                "GET / HTTP/1.1|Host: catalogue|Host: other||",
                "GET / HTTP/1.1|Host: catalogue, other||",
                "GET / HTTP/1.1|Host: catalogue/x||",
                "GET / HTTP/1.1|Host: user@catalogue||",
                "GET http://other/ HTTP/1.1|Host: catalogue||",
                "GET http://catalogue/ HTTP/1.1|Host: other||",
                "GET catalogue HTTP/1.1|Host: catalogue||",
                "GET //other/path HTTP/1.1|Host: catalogue||",
                "GET / a HTTP/1.1|Host: catalogue||",
                "GET / HTTP/9.9|Host: catalogue||",
                "GET /\0 HTTP/1.1|Host: catalogue||",
                "GET /caf\u00e9 HTTP/1.1|Host: catalogue||",
                "GET /?q=caf\u00e9 HTTP/1.1|Host: catalogue||",
                "GET /a\"b HTTP/1.1|Host: catalogue||",
                "GET /a%00b HTTP/1.1|Host: catalogue||",
                "GET /a%zz HTTP/1.1|Host: catalogue||",
                "GET /a%u002f HTTP/1.1|Host: catalogue||",
                "CONNECT catalogue:80 HTTP/1.1|Host: catalogue:80||",
                "G@T / HTTP/1.1|Host: catalogue||",
                "GET / HTTP/1.1|Host: catalogue|Sardinepost-Context: depth=1||",
                "GET / HTTP/1.1|Host: catalogue|Sardinepost-Deadline-Ms: soon||",
            })
    void isRefusedBeforeReachingAnUpstream(String lines) throws Exception {
        String callerResponse = RawHttpClient.exchange(daemon.callerPort(), lines.replace("|", "\r\n") + SMUGGLED);

        assertWithMessage(callerResponse).that(callerResponse).matches("(?s)HTTP/1\\.1 (400|505) .*");
        assertWithMessage(callerResponse).that(callerResponse).contains("\r\nSardinepost-Outcome: not-run\r\n");
        assertWithMessage(callerResponse).that(upstream.requests()).isEmpty();
    }
}
