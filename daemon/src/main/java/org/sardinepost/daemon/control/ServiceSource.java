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

/** A value of the configuration service. The watch transfers only the revision. */
final class ServiceSource implements ValueSource {
    /** Bounds the time in which a dead connection to the service goes unnoticed. */
    private static final long WATCH_MILLIS = 8_000;

    private static final long READ_LIMIT_MILLIS = 3_000;
    private static final int MAX_VALUE_BYTES = 2 << 20;
    private static final String REVISION = "Revision";

    private final HttpClient client;
    private final String url;

    ServiceSource(HttpClient client, String url) {
        this.client = client;
        this.url = url;
    }

    @Override
    public CompletableFuture<SourceValue> read() {
        return send(client.newRequest(url), READ_LIMIT_MILLIS).thenApply(ServiceSource::value);
    }

    @Override
    public CompletableFuture<Long> awaitChange(long after) {
        Request watch = client.newRequest(url)
                .method(HttpMethod.HEAD)
                .param("after", Long.toString(after))
                .param("wait-ms", Long.toString(WATCH_MILLIS));
        return send(watch, WATCH_MILLIS + READ_LIMIT_MILLIS).thenApply(response -> revisionAfter(response, after));
    }

    private static CompletableFuture<ContentResponse> send(Request request, long limitMillis) {
        request.timeout(limitMillis, TimeUnit.MILLISECONDS);
        return new CompletableResponseListener(request, MAX_VALUE_BYTES).send();
    }

    private static SourceValue value(ContentResponse response) {
        requireStatus(response, HttpStatus.OK_200);
        return new SourceValue(revision(response), new String(response.getContent(), StandardCharsets.UTF_8));
    }

    private static long revisionAfter(ContentResponse response, long after) {
        if (response.getStatus() == HttpStatus.NOT_MODIFIED_304) {
            return after;
        }
        requireStatus(response, HttpStatus.OK_200);
        return revision(response);
    }

    private static void requireStatus(ContentResponse response, int status) {
        if (response.getStatus() != status) {
            throw new SourceException("the configuration service answered " + response.getStatus()
                    + "; check the url in the settings and the state of the service");
        }
    }

    private static long revision(ContentResponse response) {
        String revision = response.getHeaders().get(REVISION);
        try {
            return Long.parseLong(revision == null ? "" : revision.trim());
        } catch (NumberFormatException e) {
            throw new SourceException(
                    "the answer has no valid " + REVISION + " header but \"" + revision
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
        // The client is shared and closed by its owner.
    }
}
