package org.sardinepost.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.TokenMode;
import org.sardinepost.daemon.call.CallHeaders;

/** Guards against a second execution of a non-idempotent request and against false outcomes, through real sockets. */
@Timeout(30)
class TokenCallsTest {
    private final ConcurrentHashMap<String, Integer> executions = new ConcurrentHashMap<>();
    private final AtomicBoolean refusing = new AtomicBoolean();
    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final List<AutoCloseable> opened = new ArrayList<>();
    private TokenCaller caller;
    private Daemon first;
    private Daemon second;

    @BeforeEach
    void start() throws Exception {
        TestUpstream upstream = open(new TestUpstream(this::execute));
        caller = open(new TokenCaller());
        first = daemon(upstream, TokenMode.REQUIRED);
        second = daemon(upstream, TokenMode.REQUIRED);
        List<Daemon> daemons = List.of(first, second);
        daemons.forEach(daemon -> daemon.tokens().useDirectory(incarnation -> addressOf(daemons, incarnation)));
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

    private Daemon daemon(TestUpstream upstream, TokenMode mode) throws Exception {
        Service booking = Service.builder("booking")
                .external(true)
                .tokens(mode)
                .upstreams(List.of(upstream.upstream()))
                .build();
        return open(TestDaemon.start(TestDaemon.settings().peerAddress(freeAddress()), booking));
    }

    /** Tokens carry the peer address of the settings, so it cannot have port 0. */
    private static UpstreamId freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new UpstreamId("127.0.0.1", socket.getLocalPort());
        }
    }

    private static Optional<String> addressOf(List<Daemon> daemons, long incarnation) {
        return daemons.stream()
                .filter(daemon -> daemon.tokens().incarnation() == incarnation)
                .map(daemon -> "127.0.0.1:" + daemon.callerPort())
                .findFirst();
    }

    /** The body says what the upstream does and identifies the request. */
    private void execute(Request request, String body, Response response, Callback callback) throws Exception {
        if (refusing.get()) {
            response.setStatus(503);
            response.getHeaders().put(CallHeaders.NOT_RUN, "1");
            callback.succeeded();
            return;
        }
        int count = executions.merge(body, 1, Integer::sum);
        if (body.startsWith("slow")) {
            started.countDown();
            released.await();
        }
        if (body.startsWith("lost")) {
            request.getConnectionMetaData().getConnection().close();
            return;
        }
        response.setStatus(201);
        Content.Sink.write(response, true, body + " execution " + count, callback);
    }

    @Nested
    class Obtaining {
        @Test
        void requestWithoutTokenIsNotRun() throws Exception {
            TokenCaller.Reply reply = caller.post(first.callerPort(), "tie", headers -> {});
            assertThat(reply.status()).isEqualTo(428);
            assertThat(reply.outcome()).isEqualTo("not-run");
            assertThat(executions).isEmpty();
        }

        @Test
        void answerCarriesAFreshTokenOnRequest() throws Exception {
            String token = caller.token(first.callerPort());
            TokenCaller.Reply reply =
                    caller.post(second.callerPort(), "tie", headers -> headers.put(CallHeaders.TOKEN, token)
                            .put(CallHeaders.TOKEN_REQUEST, "1"));
            assertThat(reply.status()).isEqualTo(201);
            assertThat(caller.order(second.callerPort(), reply.token().orElseThrow(), "scarf")
                            .status())
                    .isEqualTo(201);
        }

        @Test
        void optionalTokensLetARequestRunWithoutOne() throws Exception {
            TestUpstream upstream = open(new TestUpstream(TokenCallsTest.this::execute));
            Daemon optional = daemon(upstream, TokenMode.OPTIONAL);
            assertThat(caller.post(optional.callerPort(), "tie", headers -> {}).status())
                    .isEqualTo(201);
        }
    }

    @Nested
    class Repeating {
        @Test
        void repeatToEitherDaemonRunsOnce() throws Exception {
            String token = caller.token(first.callerPort());
            TokenCaller.Reply reply = caller.order(second.callerPort(), token, "tie");
            assertThat(reply).isEqualTo(new TokenCaller.Reply(201, "answered", Optional.empty(), "tie execution 1"));
            assertThat(caller.order(first.callerPort(), token, "tie")).isEqualTo(reply);
            assertThat(caller.order(second.callerPort(), token, "tie")).isEqualTo(reply);
        }

        @Test
        void changedBodyIsRefused() throws Exception {
            String token = caller.token(first.callerPort());
            caller.order(first.callerPort(), token, "tie");
            assertThat(caller.order(second.callerPort(), token, "scarf").status())
                    .isEqualTo(409);
            assertThat(executions.keySet()).containsExactly("tie");
        }

        @Test
        void repeatDuringTheCallGetsItsAnswer() throws Exception {
            String token = caller.token(first.callerPort());
            CompletableFuture<TokenCaller.Reply> reply = orderInBackground(first, token, "slow tie");
            started.await();
            CompletableFuture<TokenCaller.Reply> repeat = orderInBackground(second, token, "slow tie");
            released.countDown();
            assertThat(reply.join().body()).isEqualTo("slow tie execution 1");
            assertThat(repeat.join()).isEqualTo(reply.join());
        }

        @Test
        void lostAnswerIsUnknownAndNotRunAgain() throws Exception {
            String token = caller.token(first.callerPort());
            assertThat(caller.order(first.callerPort(), token, "lost tie").outcome())
                    .isEqualTo("unknown");
            assertThat(caller.order(second.callerPort(), token, "lost tie").outcome())
                    .isEqualTo("unknown");
            assertThat(executions).containsExactly("lost tie", 1);
        }

        @Test
        void refusalOfTheUpstreamRenewsTheToken() throws Exception {
            String token = caller.token(first.callerPort());
            refusing.set(true);
            TokenCaller.Reply refused = caller.order(second.callerPort(), token, "tie");
            refusing.set(false);
            assertThat(refused.outcome()).isEqualTo("not-run");
            assertThat(caller.order(first.callerPort(), token, "tie").outcome()).isEqualTo("not-run");
            String renewed = refused.token().orElseThrow();
            assertThat(caller.order(first.callerPort(), renewed, "tie").body()).isEqualTo("tie execution 1");
        }
    }

    @Nested
    class IssuerGone {
        @Test
        void tokenOfAStoppedDaemonIsUnknown() throws Exception {
            String token = caller.token(first.callerPort());
            caller.order(first.callerPort(), token, "tie");
            first.close();
            TokenCaller.Reply reply = caller.order(second.callerPort(), token, "tie");
            assertThat(reply.status()).isEqualTo(504);
            assertThat(reply.outcome()).isEqualTo("unknown");
        }

        @Test
        void forwardedRequestIsNotForwardedAgain() throws Exception {
            String token = caller.token(first.callerPort());
            TokenCaller.Reply reply =
                    caller.post(second.callerPort(), "tie", headers -> headers.put(CallHeaders.TOKEN, token)
                            .put(CallHeaders.FORWARDED, "127.0.0.1:1"));
            assertThat(reply.status()).isEqualTo(504);
            assertThat(executions).isEmpty();
        }

        @Test
        void refusalBeforeTheTokenIsReadIsUnknown() throws Exception {
            String token = caller.token(first.callerPort());
            caller.order(first.callerPort(), token, "tie");
            TokenCaller.Reply reply =
                    caller.post(first.callerPort(), "tie", headers -> headers.put(CallHeaders.TOKEN, token)
                            .put(CallHeaders.DEADLINE_MS, "0"));
            assertThat(reply.outcome()).isEqualTo("unknown");
        }

        @Test
        void adopterAnswersForHandedOverTokens() throws Exception {
            String used = caller.token(first.callerPort());
            String fresh = caller.token(first.callerPort());
            TokenCaller.Reply reply = caller.order(first.callerPort(), used, "tie");
            first.tokens().handOver(second.tokens()::adopt).join();
            assertThat(caller.order(second.callerPort(), used, "tie")).isEqualTo(reply);
            assertThat(caller.order(first.callerPort(), fresh, "scarf").outcome())
                    .isEqualTo("unknown");
            assertThat(caller.order(second.callerPort(), fresh, "scarf").body()).isEqualTo("scarf execution 1");
        }
    }

    private CompletableFuture<TokenCaller.Reply> orderInBackground(Daemon daemon, String token, String body) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return caller.order(daemon.callerPort(), token, body);
                    } catch (Exception e) {
                        throw new CompletionException(e);
                    }
                },
                command -> Executors.defaultThreadFactory().newThread(command).start());
    }
}
