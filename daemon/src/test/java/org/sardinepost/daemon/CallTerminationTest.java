package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.text.Service;

/**
 * Verifies that an upstream call is cancelled when its caller disconnects, that every call ends by its deadline, and that a
 * graceful shutdown does not interrupt calls.
 */
@Timeout(60)
final class CallTerminationTest {
    private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";

    private static Service.Builder service(ScriptedUpstream upstream) {
        return Service.builder("127.0.0.1").external(true).upstreams(List.of(upstream.upstream()));
    }

    private static Socket connect(Daemon daemon) throws Exception {
        return new Socket(InetAddress.getLoopbackAddress(), daemon.callerPort());
    }

    private static void send(Socket callerConnection, String request) throws Exception {
        callerConnection.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Disconnects after a request whose upstream does not respond, with a step between, and awaits the cancellation. */
    private static void disconnect(String request, DaemonStep beforeDisconnect) throws Exception {
        try (ScriptedUpstream upstream = ScriptedUpstream.silent();
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings().drainWait(Duration.ofMillis(1)),
                        service(upstream).deadline(Duration.ofHours(1)).build())) {
            try (Socket callerConnection = connect(daemon)) {
                send(callerConnection, request);
                upstream.awaitRequestHead();
                beforeDisconnect.run(daemon);
            }
            upstream.connectionClosed().get(10, TimeUnit.SECONDS);
            daemon.stop().get(30, TimeUnit.SECONDS);
        }
    }

    @Test
    void disconnectOfCallerCancelsUpstreamCall() throws Exception {
        disconnect(REQUEST, daemon -> {});
    }

    static Stream<Arguments> requestsBeforeADisconnect() {
        String head = "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n";
        return Stream.of(
                Arguments.of("a body with a length", head + "Content-Length: 5000\r\n\r\n" + "a".repeat(5_000)),
                Arguments.of("a chunked body", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
                Arguments.of("a request sent ahead", REQUEST + REQUEST),
                Arguments.of("a request with a body sent ahead", REQUEST + head + "Content-Length: 3\r\n\r\nabc"),
                Arguments.of("more requests sent ahead than are read", REQUEST.repeat(1_000)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("requestsBeforeADisconnect")
    void disconnectAfterAnyRequestCancelsUpstreamCall(String name, String request) throws Exception {
        disconnect(request, daemon -> Thread.sleep(100));
    }

    @Test
    void disconnectDuringGracefulShutdownCancelsUpstreamCall() throws Exception {
        disconnect(REQUEST, daemon -> {
            var unused = daemon.stop();
            Thread.sleep(500);
        });
    }

    @Test
    void pipelinedRequestGetsResponse() throws Exception {
        CompletableFuture<Void> responseAllowed = new CompletableFuture<>();
        CompletableFuture<Void> requestReceived = new CompletableFuture<>();
        try (TestUpstream upstream = new TestUpstream((request, body, response, callback) -> {
                    requestReceived.complete(null);
                    responseAllowed.join();
                    Content.Sink.write(
                            response,
                            true,
                            "response to " + request.getHttpURI().getPath(),
                            callback);
                });
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(),
                        Service.builder("127.0.0.1")
                                .external(true)
                                .deadline(Duration.ofMinutes(1))
                                .upstreams(List.of(upstream.upstream()))
                                .build());
                Socket callerConnection = connect(daemon)) {
            send(callerConnection, REQUEST.replace("/ ", "/1 "));
            requestReceived.join();
            send(callerConnection, REQUEST.replace("/ ", "/2 ").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            responseAllowed.complete(null);

            String responses =
                    new String(callerConnection.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(responses).containsMatch("(?s)response to /1.*response to /2$");
        }
    }

    @Test
    void silentUpstreamEndsAtDeadline() throws Exception {
        try (ScriptedUpstream upstream = ScriptedUpstream.silent();
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(),
                        service(upstream).deadline(Duration.ofMillis(300)).build())) {
            String response = RawHttpClient.exchange(
                    daemon.callerPort(), RawHttpClient.request("GET / HTTP/1.1", "Host: 127.0.0.1"));

            assertThat(response).startsWith("HTTP/1.1 504 ");
            assertThat(response).contains("\r\nSardinepost-Outcome: unknown\r\n");
            upstream.connectionClosed().get(30, TimeUnit.SECONDS);
        }
    }

    @Test
    void incompleteRequestBodyIsNotDispatched() throws Exception {
        try (ScriptedUpstream upstream = ScriptedUpstream.silent();
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(),
                        service(upstream).deadline(Duration.ofMillis(300)).build())) {
            String response = RawHttpClient.exchange(
                    daemon.callerPort(),
                    RawHttpClient.request("POST / HTTP/1.1", "Host: 127.0.0.1", "Content-Length: 3") + "a");

            assertThat(response).startsWith("HTTP/1.1 504 ");
            assertThat(response).contains("\r\nSardinepost-Outcome: not-run\r\n");
            assertThat(upstream.requestHeads()).isEmpty();
        }
    }

    @Test
    void servesPlaintextHttp2OnTheSamePort() throws Exception {
        try (ScriptedUpstream upstream = ScriptedUpstream.keepingAlive(OK_RESPONSE);
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(), service(upstream).build());
                org.eclipse.jetty.client.HttpClient client = Http2Client.start()) {
            ContentResponse response = client.GET("http://127.0.0.1:" + daemon.callerPort() + "/");

            assertThat(response.getVersion()).isEqualTo(HttpVersion.HTTP_2);
            assertThat(response.getContentAsString()).isEqualTo("ok");
        }
    }

    @Test
    void servesRequestsToUpgradeOverHttp1() throws Exception {
        try (ScriptedUpstream upstream = ScriptedUpstream.keepingAlive(OK_RESPONSE);
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(), service(upstream).build())) {
            HttpResponse<String> response = HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.callerPort() + "/"))
                                    .version(HttpClient.Version.HTTP_2)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());

            assertThat(response.version()).isEqualTo(HttpClient.Version.HTTP_1_1);
            assertThat(response.body()).isEqualTo("ok");
        }
    }

    @Test
    void gracefulShutdownWaitsForTheLastCall() throws Exception {
        CompletableFuture<Void> responseAllowed = new CompletableFuture<>();
        CompletableFuture<Void> requestReceived = new CompletableFuture<>();
        DaemonSettings.Builder settings = TestDaemon.settings().drainWait(Duration.ofMillis(1));
        try (TestUpstream upstream = new TestUpstream((request, body, response, callback) -> {
                    requestReceived.complete(null);
                    responseAllowed.join();
                    Content.Sink.write(response, true, "evening report", callback);
                });
                Daemon daemon = TestDaemon.start(
                        settings,
                        Service.builder("127.0.0.1")
                                .external(true)
                                .deadline(Duration.ofMinutes(1))
                                .upstreams(List.of(upstream.upstream()))
                                .build());
                Socket callerConnection = connect(daemon);
                Socket idleConnection = connect(daemon)) {
            send(callerConnection, REQUEST);
            requestReceived.join();
            CompletableFuture<Void> shutdownDone = daemon.stop();
            while (!daemon.refusesCalls()) {
                Thread.sleep(1);
            }
            send(idleConnection, REQUEST);
            String refusedResponse =
                    new String(idleConnection.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

            assertThat(refusedResponse).contains("\r\nSardinepost-Reason: draining\r\n");
            assertThat(daemon.readiness().unreadyReasons()).containsExactly("stopping");
            assertThat(shutdownDone.isDone()).isFalse();
            responseAllowed.complete(null);
            String response = new String(callerConnection.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(response).endsWith("evening report");
            shutdownDone.get(30, TimeUnit.SECONDS);
        }
    }

    @FunctionalInterface
    private interface DaemonStep {
        void run(Daemon daemon) throws Exception;
    }
}
