package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.TokenMode;

/**
 * Guards against callers that wait for each of their pipelined requests in turn, and against pipelined requests that are
 * answered in the wrong order, run twice, or run although the connection ended before them.
 */
@Timeout(60)
final class PipeliningTest {
    private static final long TIMEOUT_SECONDS = 30;

    /** The paths of the requests that the upstream received, in their order. */
    private final List<String> received = new CopyOnWriteArrayList<>();
    /** The upstream answers a path once its future completes. */
    private final Map<String, CompletableFuture<Void>> allowed = new ConcurrentHashMap<>();

    private TestUpstream upstream;
    private Daemon daemon;
    private Socket connection;

    @BeforeEach
    void setUp() throws Exception {
        upstream = new TestUpstream(this::answer);
        Service.Builder service = Service.builder("127.0.0.1")
                .external(true)
                .tokens(TokenMode.OPTIONAL)
                .deadline(Duration.ofSeconds(50))
                .slots(20)
                .upstreams(List.of(upstream.upstream()));
        daemon = TestDaemon.start(TestDaemon.settings().drainWait(Duration.ofMillis(1)), service.build());
        connection = new Socket(InetAddress.getLoopbackAddress(), daemon.callerPort());
    }

    @AfterEach
    void tearDown() throws Exception {
        allowed.values().forEach(future -> future.complete(null));
        connection.close();
        daemon.close();
        upstream.close();
    }

    private void answer(Request request, String body, Response response, Callback callback) {
        String path = request.getHttpURI().getPath();
        received.add(path);
        var unused = allowed(path).thenRun(() -> Content.Sink.write(response, true, "response to " + path, callback));
    }

    private CompletableFuture<Void> allowed(String path) {
        return allowed.computeIfAbsent(path, key -> new CompletableFuture<>());
    }

    private void allow(String... paths) {
        for (String path : paths) {
            allowed(path).complete(null);
        }
    }

    private static String get(String path, String... headers) {
        return RawHttpClient.head(concat("GET " + path + " HTTP/1.1", headers));
    }

    private static String[] concat(String requestLine, String... headers) {
        String[] lines = new String[headers.length + 2];
        lines[0] = requestLine;
        lines[1] = "Host: 127.0.0.1";
        System.arraycopy(headers, 0, lines, 2, headers.length);
        return lines;
    }

    private void send(String... requests) throws Exception {
        connection.getOutputStream().write(String.join("", requests).getBytes(StandardCharsets.ISO_8859_1));
    }

    private String readToEnd() throws Exception {
        return new String(connection.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private void awaitReceived(String path) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!received.contains(path)) {
            assertWithMessage("waiting for request " + path)
                    .that(System.nanoTime() - deadlineNanos)
                    .isLessThan(0);
            Thread.sleep(2);
        }
    }

    @Nested
    class IdempotentRequests {
        @Test
        void runAtTheSameTimeAndAreAnsweredInTheirOrder() throws Exception {
            send(get("/1"), get("/2"), get("/3"));
            awaitReceived("/1");
            awaitReceived("/2");
            awaitReceived("/3");
            send(get("/4", "Connection: close"));
            allow("/3", "/2", "/1", "/4");

            assertThat(readToEnd()).containsMatch("(?s)to /1.*to /2.*to /3.*to /4$");
            assertThat(received).containsNoDuplicates();
        }

        @Test
        void thatArriveWhileAnotherRunsAreDispatchedAtOnce() throws Exception {
            send(get("/1"));
            awaitReceived("/1");
            send(get("/2"));
            awaitReceived("/2");
            send(get("/3"));
            awaitReceived("/3");
            allow("/1", "/2", "/3", "/4");
            send(get("/4", "Connection: close"));

            assertThat(readToEnd()).containsMatch("(?s)to /1.*to /2.*to /3.*to /4$");
            assertThat(received).containsNoDuplicates();
        }

        @Test
        void behindARefusedOneAreAnswered() throws Exception {
            allow("/2");
            send(get("/1", "Sardinepost-Deadline-Ms: 0"), get("/2", "Connection: close"));

            assertThat(readToEnd()).containsMatch("(?s)^HTTP/1.1 50[34] .*to /2$");
        }

        @Test
        void behindOneThatTimesOutAreAnswered() throws Exception {
            allow("/2", "/3");
            send(get("/1", "Sardinepost-Deadline-Ms: 200"), get("/2"), get("/3", "Connection: close"));

            assertThat(readToEnd()).containsMatch("(?s)^HTTP/1.1 504 .*to /2.*to /3$");
        }

        @Test
        void areLimitedInNumber() throws Exception {
            StringBuilder requests = new StringBuilder(get("/0"));
            for (int i = 1; i <= 20; i++) {
                requests.append(get("/" + i));
            }
            send(requests.toString());
            awaitReceived("/8");
            Thread.sleep(200);

            assertThat(received).hasSize(9);
        }
    }

    @Nested
    class RequestsThatWaitForTheirTurn {
        @Test
        void areNotIdempotentOnes() throws Exception {
            send(get("/1"), RawHttpClient.head(concat("DELETE /2 HTTP/1.1")), get("/3", "Connection: close"));
            awaitReceived("/1");
            Thread.sleep(200);
            assertThat(received).containsExactly("/1");
            allow("/1");
            awaitReceived("/2");
            allow("/2", "/3");

            assertThat(readToEnd()).containsMatch("(?s)to /1.*to /2.*to /3$");
            assertThat(received).containsNoDuplicates();
        }

        @Test
        void areThoseBehindABodyThatLooksLikeARequest() throws Exception {
            String body = get("/smuggled");
            String post = RawHttpClient.head(concat("POST /2 HTTP/1.1", "Content-Length: " + body.length()));
            allow("/1", "/2", "/3", "/smuggled");
            send(get("/1"), post + body, get("/3", "Connection: close"));

            assertThat(readToEnd()).containsMatch("(?s)to /1.*to /2.*to /3$");
            assertThat(received).containsExactly("/1", "/2", "/3").inOrder();
        }
    }

    /** Sends the next request while the response to the one before it is written, at slightly different times. */
    @Nested
    class RequestsThatArriveAtTheEndOfACall {
        private static final int ROUNDS = 300;

        @Test
        void runOnceAndBodiesAreNotTakenForRequests() throws Exception {
            allowed.put("/fast", CompletableFuture.completedFuture(null));
            String body = get("/smuggled");
            String post = RawHttpClient.head(concat("POST /fast HTTP/1.1", "Content-Length: " + body.length()));
            for (int round = 0; round < ROUNDS; round++) {
                send(get("/fast"));
                TimeUnit.MICROSECONDS.sleep(20L * (round % 60));
                send(post);
                send(body);
                send(get("/fast"));
                readResponses(3);
            }

            assertThat(received).hasSize(3 * ROUNDS);
            assertThat(received).doesNotContain("/smuggled");
        }

        private void readResponses(int count) throws Exception {
            byte[] bytes = new byte[1];
            StringBuilder text = new StringBuilder();
            int seen = 0;
            while (seen < count) {
                assertThat(connection.getInputStream().read(bytes)).isEqualTo(1);
                text.append((char) bytes[0]);
                if (text.toString().endsWith("response to /fast")) {
                    seen++;
                    text.setLength(0);
                }
            }
        }
    }

    @Nested
    class RequestsBehindTheEndOfTheConnection {
        @Test
        void doNotRun() throws Exception {
            send(get("/1", "Connection: close"), get("/2"));
            awaitReceived("/1");
            Thread.sleep(200);
            allow("/1", "/2");

            assertThat(readToEnd()).endsWith("response to /1");
            assertThat(received).containsExactly("/1");
        }

        @Test
        void areCancelledWhenTheCallerDisconnects() throws Exception {
            send(get("/1"), get("/2"));
            awaitReceived("/2");
            connection.close();

            // Completes only when no call is left, although the upstream never answers.
            daemon.stop().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    @Nested
    class APlannedStop {
        @Test
        void answersTheRequestsThatRun() throws Exception {
            send(get("/1"), get("/2"), get("/3"));
            awaitReceived("/3");
            CompletableFuture<Void> stopped = daemon.stop();
            while (!daemon.refusesCalls()) {
                Thread.sleep(1);
            }
            allow("/3", "/2");
            Thread.sleep(100);
            allow("/1");

            assertThat(readToEnd()).containsMatch("(?s)to /1.*to /2.*Connection: close.*to /3$");
            stopped.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        @Test
        void runsNoRequestBehindTheLastResponse() throws Exception {
            send(get("/1"));
            awaitReceived("/1");
            CompletableFuture<Void> stopped = daemon.stop();
            send(get("/2"));
            Thread.sleep(200);
            allow("/1", "/2");

            assertThat(readToEnd()).endsWith("response to /1");
            assertThat(received).containsExactly("/1");
            stopped.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }
}
