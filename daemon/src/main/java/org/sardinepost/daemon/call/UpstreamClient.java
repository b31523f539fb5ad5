package org.sardinepost.daemon.call;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.http.UpstreamHttpTransport;

/** Sends buffered requests to upstreams and buffers the complete responses. */
public final class UpstreamClient {
    private final HttpClient client;
    private final UpstreamObserver observer;
    private final UpstreamProtocol protocol;

    public UpstreamClient(HttpClient client, UpstreamObserver observer, UpstreamProtocol protocol) {
        this.client = client;
        this.observer = observer;
        this.protocol = protocol;
    }

    /**
     * Sends a request once to an upstream.
     *
     * <p>The future fails with {@link SendException}. Cancelling it aborts the exchange and closes its connection.
     */
    CompletableFuture<BufferedResponse> send(
            UpstreamId upstream, BufferedRequest request, long responseLimitBytes, HeldBytesReservation reservation) {
        Optional<String> instance = Optional.ofNullable(request.headers().get(CallHeaders.INSTANCE));
        return send(upstream, instance, protocol.translateRequest(request), protocol, responseLimitBytes, reservation);
    }

    /** Sends a request once to another daemon, with the same failures as {@link #send}. */
    CompletableFuture<BufferedResponse> sendToDaemon(
            UpstreamId daemon, BufferedRequest request, long responseLimitBytes, HeldBytesReservation reservation) {
        return send(
                daemon, Optional.empty(), request, UpstreamProtocol.untranslated(), responseLimitBytes, reservation);
    }

    private CompletableFuture<BufferedResponse> send(
            UpstreamId upstream,
            Optional<String> instance,
            BufferedRequest request,
            UpstreamProtocol upstreamProtocol,
            long responseLimitBytes,
            HeldBytesReservation reservation) {
        Request exchange = new UpstreamRequest(client, upstream, request.method())
                .path(request.target())
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .headers(fields -> fields.add(request.headers()));
        upstreamProtocol.attemptId(request).ifPresent(id -> exchange.attribute(UpstreamHttpTransport.ATTEMPT_ID, id));
        if (!requestTarget(exchange).equals(request.target())) {
            return CompletableFuture.failedFuture(new RefusedException(
                    RefusalReason.MALFORMED_REQUEST,
                    "the request target cannot be forwarded unchanged: " + request.target()));
        }
        if (request.hasBody()) {
            String contentType = request.headers().get("Content-Type");
            exchange.body(new ByteBufferRequestContent(contentType, BodySlices.of(request.body())));
        }
        ResponseCollector collector =
                new ResponseCollector(exchange, request, upstreamProtocol, responseLimitBytes, reservation);
        exchange.onRequestListener(collector.requestListener());
        exchange.send(collector);
        CompletableFuture<BufferedResponse> responseFuture = collector.responseFuture();
        // Returns the original future: a derived one would wrap failures, and cancelling it would abort nothing.
        var unused = responseFuture.whenComplete(
                (response, failure) -> observer.exchangeEnded(upstream, instance, response, failure));
        return responseFuture;
    }

    /**
     * Returns the request target to send. Jetty parses a target such as {@code //a/b} as authority and path; such a
     * target must not be altered silently.
     */
    private static String requestTarget(Request exchange) {
        return exchange.getQuery() == null ? exchange.getPath() : exchange.getPath() + "?" + exchange.getQuery();
    }
}
