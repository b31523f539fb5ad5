package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.function.Predicate;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.sardinepost.daemon.call.CallHeaders;

/** Guards against a second execution when real daemon or upstream processes are killed, paused or stopped. */
@Timeout(120)
class TokenProcessTest {
    private static final long POLL_MILLIS = 100;

    @TempDir
    private Path directory;

    private final ConcurrentHashMap<String, Integer> executions = new ConcurrentHashMap<>();
    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final List<AutoCloseable> opened = new ArrayList<>();
    private final int[] callerPorts = new int[2];
    private final int[] peerPorts = new int[2];
    private TokenCaller caller;

    @BeforeEach
    void ports() throws Exception {
        caller = open(new TokenCaller());
        for (int i = 0; i < 2; i++) {
            callerPorts[i] = JavaProcess.freePort();
            peerPorts[i] = JavaProcess.freePort();
        }
    }

    @AfterEach
    void stop() throws Exception {
        released.countDown();
        for (AutoCloseable each : opened) {
            each.close();
        }
    }

    private <T extends AutoCloseable> T open(T resource) {
        opened.add(0, resource);
        return resource;
    }

    private String inProcessUpstream() throws Exception {
        TestUpstream upstream = open(new TestUpstream((request, body, response, callback) -> {
            int count = executions.merge(body, 1, Integer::sum);
            if (body.startsWith("slow")) {
                started.countDown();
                released.await();
            }
            Content.Sink.write(response, true, body + " execution " + count, callback);
        }));
        return upstream.upstream().id().toString();
    }

    private JavaProcess daemon(int number, String upstream) throws IOException {
        Path text = directory.resolve("services.ini");
        Files.writeString(
                text,
                """
                [text]
                version = 1
                daemon-ceiling = 2
                [service booking]
                external = true
                deadline = 1m
                upstreams = %s@test-1
                """
                        .formatted(upstream));
        Path settings = directory.resolve("daemon-" + number + ".ini");
        Files.writeString(
                settings,
                """
                [daemon]
                caller-address = 127.0.0.1:%d
                admin-address = 127.0.0.1:%d
                peer-address = 127.0.0.1:%d
                failure-domain = test-1
                region = test
                drain-wait = 100ms
                [configuration]
                source = file
                file = %s
                [peers]
                addresses = 127.0.0.1:%d
                """
                        .formatted(
                                callerPorts[number],
                                JavaProcess.freePort(),
                                peerPorts[number],
                                text,
                                peerPorts[1 - number]));
        Path log = directory.resolve("daemon-" + number + ".log");
        return open(new JavaProcess(log, DaemonMain.class, "--settings", settings.toString()));
    }

    /** Starts both daemons and waits until the second forwards to the first. Repeats of one token are harmless. */
    private JavaProcess daemons(String upstream) throws Exception {
        JavaProcess first = daemon(0, upstream);
        daemon(1, upstream);
        String token = freshToken(0);
        freshToken(1);
        poll(() -> caller.order(callerPorts[1], token, "warm-up"), reply -> reply.status() == 200);
        return first;
    }

    private String freshToken(int number) throws Exception {
        return poll(() -> caller.post(callerPorts[number], "", headers -> {}), reply -> reply.token()
                        .isPresent())
                .token()
                .orElseThrow();
    }

    /** Asks until the answer is the wanted one; the test's timeout is the bound. */
    private static <T> T poll(Callable<T> question, Predicate<T> wanted) throws Exception {
        while (true) {
            try {
                T answer = question.call();
                if (wanted.test(answer)) {
                    return answer;
                }
            } catch (ExecutionException e) {
                // The process does not listen yet.
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private CompletableFuture<TokenCaller.Reply> inBackground(int port, String token, String body) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return caller.order(port, token, body);
            } catch (Exception e) {
                throw new CompletionException(e);
            }
        });
    }

    private TokenCaller.Reply orderWithin(String millis, int port, String token, String body) throws Exception {
        return caller.post(
                port, body, headers -> headers.put(CallHeaders.TOKEN, token).put(CallHeaders.DEADLINE_MS, millis));
    }

    @Test
    void requestOfAKilledIssuerIsUnknownEvenAfterItsReplacement() throws Exception {
        String upstream = inProcessUpstream();
        JavaProcess first = daemons(upstream);
        String token = freshToken(0);
        CompletableFuture<TokenCaller.Reply> cut = inBackground(callerPorts[0], token, "slow tie");
        started.await();
        first.signal("KILL");
        assertThat(first.exitCode()).isNotEqualTo(0);
        assertThat(caller.order(callerPorts[1], token, "slow tie").outcome()).isEqualTo("unknown");
        daemon(0, upstream);
        freshToken(0);
        assertThat(caller.order(callerPorts[0], token, "slow tie").outcome()).isEqualTo("unknown");
        assertThat(cut.isCompletedExceptionally()).isTrue();
        assertThat(executions).containsEntry("slow tie", 1);
    }

    @Test
    void pausedIssuerAnswersOnceItResumes() throws Exception {
        JavaProcess first = daemons(inProcessUpstream());
        String token = freshToken(0);
        CompletableFuture<TokenCaller.Reply> reply = inBackground(callerPorts[0], token, "slow tie");
        started.await();
        first.signal("STOP");
        assertThat(orderWithin("1500", callerPorts[1], token, "slow tie").outcome())
                .isEqualTo("unknown");
        first.signal("CONT");
        released.countDown();
        assertThat(reply.get().body()).isEqualTo("slow tie execution 1");
        assertThat(caller.order(callerPorts[0], token, "slow tie")).isEqualTo(reply.get());
        assertThat(executions).containsEntry("slow tie", 1);
    }

    @Test
    void plannedStopHandsTheAnswersOver() throws Exception {
        JavaProcess first = daemons(inProcessUpstream());
        String used = freshToken(0);
        String fresh = freshToken(0);
        TokenCaller.Reply reply = caller.order(callerPorts[0], used, "tie");
        first.signal("TERM");
        assertThat(first.exitCode()).isEqualTo(0);
        assertThat(caller.order(callerPorts[1], used, "tie")).isEqualTo(reply);
        assertThat(caller.order(callerPorts[1], fresh, "scarf").body()).isEqualTo("scarf execution 1");
        assertThat(executions).containsEntry("tie", 1);
    }

    @Test
    void requestToAPausedOrKilledUpstreamIsUnknownAndNotSentAgain() throws Exception {
        int port = JavaProcess.freePort();
        JavaProcess upstream = open(
                new JavaProcess(directory.resolve("upstream.log"), CountingUpstreamMain.class, Integer.toString(port)));
        daemons("127.0.0.1:" + port);
        String paused = freshToken(0);
        upstream.signal("STOP");
        assertThat(orderWithin("1500", callerPorts[0], paused, "tie").outcome()).isEqualTo("unknown");
        upstream.signal("CONT");
        assertThat(caller.order(callerPorts[1], paused, "tie").outcome()).isEqualTo("unknown");
        assertThat(caller.get(port, "/tie")).isAnyOf("null", "1");
        String killed = freshToken(0);
        CompletableFuture<TokenCaller.Reply> cut = inBackground(callerPorts[0], killed, "slow");
        poll(() -> caller.get(port, "/slow"), count -> count.equals("1"));
        upstream.signal("KILL");
        assertThat(cut.get().outcome()).isEqualTo("unknown");
        assertThat(caller.order(callerPorts[1], killed, "slow").outcome()).isEqualTo("unknown");
    }
}
