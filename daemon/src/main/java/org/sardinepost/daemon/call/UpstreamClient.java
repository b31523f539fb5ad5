package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.routing.UpstreamId;

/** Sends held requests to upstreams and holds their whole answers. */
public final class UpstreamClient {
    private final HttpClient client;

    public UpstreamClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Sends one request once.
     *
     * <p>The future fails with {@link SendException}. Cancelling it aborts the exchange and closes its connection.
     */
    public CompletableFuture<HeldAnswer> send(UpstreamId upstream, HeldRequest request, long answerLimitBytes) {
        Request exchange = client.newRequest(upstream.host(), upstream.port())
                .method(request.method())
                .path(request.target())
                .idleTimeout(0, TimeUnit.MILLISECONDS);
        exchange.headers(fields -> fields.add(request.headers()));
        if (request.hasBody()) {
            exchange.body(new ByteBufferRequestContent(contentType(request.headers()), request.body()));
        }
        AnswerCollector collector = new AnswerCollector(exchange, answerLimitBytes);
        exchange.onRequestListener(collector.requestListener());
        exchange.send(collector);
        return collector.answer();
    }

    private static String contentType(HttpFields headers) {
        return headers.get("Content-Type");
    }
}
