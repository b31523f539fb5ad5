package org.sardinepost.daemon.control;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** A value of the configuration service. Changes are watched by long polling, which transfers only the revision. */
final class ServiceSource implements ValueSource {
    /** Duration of one long poll, which bounds the time until a dead connection to the service is detected. */
    private static final long LONG_POLL_MILLIS = 8_000;

    private static final long READ_TIMEOUT_MILLIS = 3_000;
    private static final int MAX_VALUE_BYTES = 2 << 20;
    private static final String REVISION_HEADER = "Revision";

    private final HttpClient client;
    private final String url;

    ServiceSource(HttpClient client, String url) {
        this.client = client;
        this.url = url;
    }

    @Override
    public CompletableFuture<SourceValue> read() {
        return send(client.newRequest(url), READ_TIMEOUT_MILLIS).thenApply(ServiceSource::value);
    }

    @Override
    public CompletableFuture<Long> awaitChange(long after) {
        Request watch = client.newRequest(url)
                .method(HttpMethod.HEAD)
                .param("after", Long.toString(after))
                .param("wait-ms", Long.toString(LONG_POLL_MILLIS));
        return send(watch, LONG_POLL_MILLIS + READ_TIMEOUT_MILLIS)
                .thenApply(response -> revisionAfter(response, after));
    }

    private static CompletableFuture<ContentResponse> send(Request request, long timeoutMillis) {
        request.timeout(timeoutMillis, TimeUnit.MILLISECONDS);
        return new CompletableResponseListener(request, MAX_VALUE_BYTES).send();
    }

    private static SourceValue value(ContentResponse response) {
        checkStatus(response, HttpStatus.OK_200);
        return new SourceValue(revision(response), new String(response.getContent(), StandardCharsets.UTF_8));
    }

    private static long revisionAfter(ContentResponse response, long after) {
        if (response.getStatus() == HttpStatus.NOT_MODIFIED_304) {
            return after;
        }
        checkStatus(response, HttpStatus.OK_200);
        return revision(response);
    }

    private static void checkStatus(ContentResponse response, int status) {
        if (response.getStatus() != status) {
            throw new SourceException("the configuration service returned status " + response.getStatus()
                    + "; check the url in the settings and the state of the service");
        }
    }

    private static long revision(ContentResponse response) {
        String revision = response.getHeaders().get(REVISION_HEADER);
        try {
            return Long.parseLong(revision == null ? "" : revision.trim());
        } catch (NumberFormatException e) {
            throw new SourceException(
                    "the response has no valid " + REVISION_HEADER + " header but \"" + revision
                            + "\"; check that the url in the settings is one of the configuration service",
                    e);
        }
    }

    @Override
    public String location() {
        return url;
    }

    @Override
    public void close() {
        // The owner of the shared client closes it.
    }
}
