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
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.text.Service;

/** Guards against upstream work for callers that went away, calls without end and stops that cut calls. */
@Timeout(60)
final class CallEndTest {
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";

    private static Service.Builder service(ScriptedUpstream upstream) {
        return Service.builder("127.0.0.1").external(true).upstreams(List.of(upstream.upstream()));
    }

    private static Socket connect(Daemon daemon) throws Exception {
        return new Socket(InetAddress.getLoopbackAddress(), daemon.callerPort());
    }

    private static void send(Socket caller, String request) throws Exception {
        caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void aCallerThatGoesAwayCancelsTheUpstreamCall() throws Exception {
        try (ScriptedUpstream upstream = ScriptedUpstream.silent();
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(),
                        service(upstream).deadline(Duration.ofHours(1)).build())) {
            try (Socket caller = connect(daemon)) {
                send(caller, REQUEST);
                upstream.awaitHead();
            }
            upstream.firstConnectionEnded().get(30, TimeUnit.SECONDS);
        }
    }

    @Test
    void aRequestSentAheadIsAnsweredToo() throws Exception {
        CompletableFuture<Void> mayAnswer = new CompletableFuture<>();
        CompletableFuture<Void> reached = new CompletableFuture<>();
        try (TestUpstream upstream = new TestUpstream((request, body, response, callback) -> {
                    reached.complete(null);
                    mayAnswer.join();
                    Content.Sink.write(
                            response, true, "answer to " + request.getHttpURI().getPath(), callback);
                });
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(),
                        Service.builder("127.0.0.1")
                                .external(true)
                                .deadline(Duration.ofMinutes(1))
                                .upstreams(List.of(upstream.upstream()))
                                .build());
                Socket caller = connect(daemon)) {
            send(caller, REQUEST.replace("/ ", "/1 "));
            reached.join();
            send(caller, REQUEST.replace("/ ", "/2 ").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            mayAnswer.complete(null);

            String answers = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(answers).containsMatch("(?s)answer to /1.*answer to /2$");
        }
    }

    @Test
    void anUpstreamThatNeverAnswersEndsAtTheDeadline() throws Exception {
        try (ScriptedUpstream upstream = ScriptedUpstream.silent();
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(),
                        service(upstream).deadline(Duration.ofMillis(300)).build())) {
            String received =
                    RawCaller.exchange(daemon.callerPort(), RawCaller.request("GET / HTTP/1.1", "Host: 127.0.0.1"));

            assertThat(received).startsWith("HTTP/1.1 504 ");
            assertThat(received).contains("\r\nSardinepost-Outcome: unknown\r\n");
            upstream.firstConnectionEnded().get(30, TimeUnit.SECONDS);
        }
    }

    @Test
    void aBodyThatNeverEndsIsNotDispatched() throws Exception {
        try (ScriptedUpstream upstream = ScriptedUpstream.silent();
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(),
                        service(upstream).deadline(Duration.ofMillis(300)).build())) {
            String received = RawCaller.exchange(
                    daemon.callerPort(),
                    RawCaller.request("POST / HTTP/1.1", "Host: 127.0.0.1", "Content-Length: 3") + "a");

            assertThat(received).startsWith("HTTP/1.1 504 ");
            assertThat(received).contains("\r\nSardinepost-Outcome: not-run\r\n");
            assertThat(upstream.heads()).isEmpty();
        }
    }

    @Test
    void plainTextHttp2IsServedOnTheSamePort() throws Exception {
        try (ScriptedUpstream upstream =
                        ScriptedUpstream.keepingConnection("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                Daemon daemon = TestDaemon.start(
                        TestDaemon.settings(), service(upstream).build())) {
            HttpResponse<String> answer = HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.callerPort() + "/"))
                                    .version(HttpClient.Version.HTTP_2)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());

            assertThat(answer.version()).isEqualTo(HttpClient.Version.HTTP_2);
            assertThat(answer.body()).isEqualTo("ok");
        }
    }

    @Test
    void aPlannedStopWaitsForTheLastCall() throws Exception {
        CompletableFuture<Void> mayAnswer = new CompletableFuture<>();
        CompletableFuture<Void> reached = new CompletableFuture<>();
        DaemonSettings.Builder settings = TestDaemon.settings().drainWait(Duration.ofMillis(1));
        try (TestUpstream upstream = new TestUpstream((request, body, response, callback) -> {
                    reached.complete(null);
                    mayAnswer.join();
                    Content.Sink.write(response, true, "evening report", callback);
                });
                Daemon daemon = TestDaemon.start(
                        settings,
                        Service.builder("127.0.0.1")
                                .external(true)
                                .deadline(Duration.ofMinutes(1))
                                .upstreams(List.of(upstream.upstream()))
                                .build());
                Socket caller = connect(daemon);
                Socket idle = connect(daemon)) {
            send(caller, REQUEST);
            reached.join();
            CompletableFuture<Void> stopped = daemon.stop();
            while (!daemon.refusesCalls()) {
                Thread.sleep(1);
            }
            send(idle, REQUEST);
            String refused = new String(idle.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

            assertThat(refused).contains("\r\nSardinepost-Reason: draining\r\n");
            assertThat(daemon.readiness().obstacles()).containsExactly("stopping");
            assertThat(stopped.isDone()).isFalse();
            mayAnswer.complete(null);
            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(answer).endsWith("evening report");
            stopped.get(30, TimeUnit.SECONDS);
        }
    }
}
