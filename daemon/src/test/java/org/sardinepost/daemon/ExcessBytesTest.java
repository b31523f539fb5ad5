package org.sardinepost.daemon;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sardinepost.daemon.http.BoundedHttpTransport;
import org.sardinepost.daemon.http.PlainClientConnector;

/**
 * Guards against bytes that follow a response: if they are read before the client has ended the exchange, the next request on
 * the connection waits for its timeout while the client reads without end.
 */
@Timeout(60)
final class ExcessBytesTest {
    /** The bytes arrive at the critical moment in one of about ten exchanges. */
    private static final int UPSTREAMS = 40;

    private static final int REQUESTS_PER_UPSTREAM = 3;
    private static final long REQUEST_END_SECONDS = 5;
    private static final int MAX_CONTENT_BYTES = 1 << 10;
    private static final String NO_CONTENT = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    static Stream<Arguments> excessBytes() {
        return Stream.of(
                Arguments.of("chunks after HEAD", HttpMethod.HEAD, CHUNKED, "1\r\na\r\n"),
                Arguments.of("content after HEAD", HttpMethod.HEAD, NO_CONTENT, "aaaaaaaa"),
                Arguments.of("content", HttpMethod.GET, NO_CONTENT, "aaaaaaaa"),
                Arguments.of("line breaks", HttpMethod.GET, NO_CONTENT, "\r\n"),
                Arguments.of("interim responses", HttpMethod.GET, NO_CONTENT, "HTTP/1.1 100 Continue\r\n\r\n"),
                Arguments.of("responses", HttpMethod.GET, NO_CONTENT, NO_CONTENT),
                Arguments.of("responses after HEAD", HttpMethod.HEAD, NO_CONTENT, NO_CONTENT));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("excessBytes")
    void endRequestsOfTheDaemon(String name, HttpMethod method, String response, String excess) throws Exception {
        try (HttpClient client = BoundedHttpTransport.newClient(new PlainClientConnector())) {
            client.start();
            endEveryRequest(client, method, response, excess);
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("excessBytes")
    void endCalls(String name, HttpMethod method, String response, String excess) throws Exception {
        try (HttpClient client = ProbingMain.startClient()) {
            endEveryRequest(client, method, response, excess);
        }
    }

    private static void endEveryRequest(HttpClient client, HttpMethod method, String response, String excess)
            throws Exception {
        for (int i = 0; i < UPSTREAMS; i++) {
            try (EndlessUpstream upstream = new EndlessUpstream(response, excess)) {
                sendAll(client, "http://" + upstream.upstream().id(), method);
            }
        }
    }

    private static void sendAll(HttpClient client, String url, HttpMethod method) throws Exception {
        for (int i = 0; i < REQUESTS_PER_UPSTREAM; i++) {
            Request request = client.newRequest(url).method(method);
            try {
                var unused = new CompletableResponseListener(request, MAX_CONTENT_BYTES)
                        .send()
                        .get(REQUEST_END_SECONDS, TimeUnit.SECONDS);
            } catch (ExecutionException e) {
                // The excess bytes may fail a request, as they may be taken for the beginning of its response.
            }
        }
    }
}
