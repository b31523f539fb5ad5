package org.sardinepost.standins.load;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.sardinepost.core.routing.UpstreamId;

/** Sends the calls of one run and checks each response. */
public final class Caller {
    private static final long NANOS_PER_MICRO = 1_000;

    private final HttpClient client;
    private final CallStatistics statistics;
    private final WriteLog writeLog;

    public Caller(HttpClient client, CallStatistics statistics, WriteLog writeLog) {
        this.client = client;
        this.statistics = statistics;
        this.writeLog = writeLog;
    }

    /** Sends an idempotent call. */
    public CompletableFuture<Void> read(UpstreamId daemon, String service, String requestId, int bytes) {
        Request request = request(daemon, service, requestId, "/read?bytes=" + bytes);
        return send(request, requestId).handle((response, failure) -> null);
    }

    /**
     * Sends a non-idempotent call. Requests a token and then sends the request with this token to all given daemons
     * concurrently, like a caller that retries after a timeout.
     */
    public CompletableFuture<Void> write(
            UpstreamId issuer, Iterable<UpstreamId> daemons, String service, String requestId) {
        writeLog.recordRequest(requestId);
        return token(issuer, service, requestId)
                .thenCompose(token -> sendAll(daemons, service, requestId, token))
                .handle((done, failure) -> null);
    }

    private CompletableFuture<String> token(UpstreamId daemon, String service, String requestId) {
        Request request = post(daemon, service, requestId);
        return new CompletableResponseListener(request)
                .send()
                .thenApply(ResponseSummary::of)
                .thenApply(response -> response.token()
                        .orElseThrow(() -> new IllegalStateException(
                                "missing Idempotency-Token header in response: " + response.description())));
    }

    private CompletableFuture<Void> sendAll(
            Iterable<UpstreamId> daemons, String service, String requestId, String token) {
        CompletableFuture<Void> allAttempts = CompletableFuture.completedFuture(null);
        for (UpstreamId daemon : daemons) {
            Request request =
                    post(daemon, service, requestId).headers(headers -> headers.put("Idempotency-Token", token));
            CompletableFuture<Void> attempt = send(request, requestId).handle((response, failure) -> {
                writeLog.recordOutcome(requestId, reportedOutcome(Optional.ofNullable(response)));
                return null;
            });
            allAttempts = allAttempts.thenCombine(attempt, (left, right) -> null);
        }
        return allAttempts;
    }

    private static WriteLog.ReportedOutcome reportedOutcome(Optional<ResponseSummary> response) {
        if (response.isEmpty()) {
            return WriteLog.ReportedOutcome.UNKNOWN;
        }
        if (response.get().isNotRun()) {
            return WriteLog.ReportedOutcome.NOT_RUN;
        }
        return response.get().isSuccess() ? WriteLog.ReportedOutcome.ANSWERED : WriteLog.ReportedOutcome.UNKNOWN;
    }

    private CompletableFuture<ResponseSummary> send(Request request, String requestId) {
        long start = System.nanoTime();
        return new CompletableResponseListener(request)
                .send()
                .thenApply(ResponseSummary::of)
                .whenComplete((response, failure) -> {
                    String description = failure == null ? response.description() : "no answer";
                    statistics.recordResponse(description, (System.nanoTime() - start) / NANOS_PER_MICRO);
                    if (failure == null && response.isSuccess() && !response.isCompleteResponseTo(requestId)) {
                        statistics.recordInvalidResponse();
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
