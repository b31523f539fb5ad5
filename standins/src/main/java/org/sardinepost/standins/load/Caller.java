package org.sardinepost.standins.load;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.sardinepost.core.routing.UpstreamId;

/** Sends the calls of one run and checks each answer. */
public final class Caller {
    private static final long NANOS_PER_MICRO = 1_000;

    private final HttpClient client;
    private final Tally tally;
    private final WriteLog writes;

    public Caller(HttpClient client, Tally tally, WriteLog writes) {
        this.client = client;
        this.tally = tally;
        this.writes = writes;
    }

    /** An idempotent call. */
    public CompletableFuture<Void> read(UpstreamId daemon, String service, String requestId, int bytes) {
        Request request = request(daemon, service, requestId, "/read?bytes=" + bytes);
        return send(request, requestId).handle((answer, failure) -> null);
    }

    /**
     * A non-idempotent call: takes a token, then sends the request with it to each of the daemons at once, as callers
     * do that repeat after a timeout.
     */
    public CompletableFuture<Void> write(
            UpstreamId issuer, Iterable<UpstreamId> daemons, String service, String requestId) {
        writes.sent(requestId);
        return token(issuer, service, requestId)
                .thenCompose(token -> sendAll(daemons, service, requestId, token))
                .handle((done, failure) -> null);
    }

    private CompletableFuture<String> token(UpstreamId daemon, String service, String requestId) {
        Request request = post(daemon, service, requestId);
        return new CompletableResponseListener(request)
                .send()
                .thenApply(Answer::of)
                .thenApply(answer -> answer.token()
                        .orElseThrow(() -> new IllegalStateException("no token in " + answer.description())));
    }

    private CompletableFuture<Void> sendAll(
            Iterable<UpstreamId> daemons, String service, String requestId, String token) {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        for (UpstreamId daemon : daemons) {
            Request request =
                    post(daemon, service, requestId).headers(headers -> headers.put("Idempotency-Token", token));
            CompletableFuture<Void> one = send(request, requestId).handle((answer, failure) -> {
                writes.told(requestId, statement(Optional.ofNullable(answer)));
                return null;
            });
            all = all.thenCombine(one, (left, right) -> null);
        }
        return all;
    }

    private static WriteLog.Told statement(Optional<Answer> answer) {
        if (answer.isEmpty()) {
            return WriteLog.Told.UNKNOWN;
        }
        if (answer.get().notRun()) {
            return WriteLog.Told.NOT_RUN;
        }
        return answer.get().success() ? WriteLog.Told.ANSWERED : WriteLog.Told.UNKNOWN;
    }

    private CompletableFuture<Answer> send(Request request, String requestId) {
        long start = System.nanoTime();
        return new CompletableResponseListener(request)
                .send()
                .thenApply(Answer::of)
                .whenComplete((answer, failure) -> {
                    String description = failure == null ? answer.description() : "no answer";
                    tally.answered(description, (System.nanoTime() - start) / NANOS_PER_MICRO);
                    if (failure == null && answer.success() && !answer.wholeAnswerTo(requestId)) {
                        tally.wrongAnswer();
                    }
                });
    }

    private Request post(UpstreamId daemon, String service, String requestId) {
        return request(daemon, service, requestId, "/orders")
                .method("POST")
                .body(new StringRequestContent("text/plain", "order " + requestId));
    }

    private Request request(UpstreamId daemon, String service, String requestId, String pathAndQuery) {
        return client.newRequest("http://" + daemon + pathAndQuery)
                .headers(headers -> headers.put("Host", service).put("Request-Id", requestId));
    }
}
