package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Content;

/** Buffers one response until it is complete. */
final class ResponseCollector implements Response.Listener {
    private static final long LENGTH_UNKNOWN = -1;
    private static final int ABORT_ATTEMPTS = 50;
    private static final long ABORT_INTERVAL_MILLIS = 10;
    private static final ByteBuffer NO_BODY = ByteBuffer.allocate(0);
    private static final long MAX_BODY_BYTES = Integer.MAX_VALUE - 8;

    private final Request exchange;
    private final BufferedRequest sentRequest;
    private final UpstreamProtocol protocol;
    private final long limitBytes;
    private final ResponseBodyReservation bodyReservation;
    private final CompletableFuture<BufferedResponse> responseFuture = new CompletableFuture<>();
    private volatile boolean requestBegun;
    private volatile boolean responseBegun;
    private volatile boolean completed;
    /** The translated head of the response; absent until its headers arrive. */
    private BufferedResponse head;

    private boolean truncated;
    private CompletableFuture<Boolean> bodyReserved = CompletableFuture.completedFuture(true);
    private BodyBuffer body;

    ResponseCollector(
            Request exchange,
            BufferedRequest sentRequest,
            UpstreamProtocol protocol,
            long limitBytes,
            HeldBytesReservation reservation) {
        this.exchange = exchange;
        this.sentRequest = sentRequest;
        this.protocol = protocol;
        this.limitBytes = Math.min(limitBytes, MAX_BODY_BYTES);
        this.bodyReservation = new ResponseBodyReservation(reservation, this.limitBytes);
        this.body = BodyBuffer.growing((int) bodyReservation.maxGrowingBytes());
        var unused = responseFuture.whenComplete((response, failure) -> {
            if (responseFuture.isCancelled()) {
                abort(new CancellationException("the call was cancelled"));
            }
        });
    }

    CompletableFuture<BufferedResponse> responseFuture() {
        return responseFuture;
    }

    /** Records when the first byte of the request may be sent; until then the request cannot have been executed. */
    Request.Listener requestListener() {
        return new Request.Listener() {
            @Override
            public void onBegin(Request request) {
                requestBegun = true;
            }
        };
    }

    @Override
    public void onBegin(Response response) {
        responseBegun = true;
    }

    /**
     * Translates the head as soon as it arrives: a connection with a response that is not believed must be closed before
     * the client can use it for another request.
     */
    @Override
    public void onHeaders(Response response) {
        Optional<String> violation = FinalResponseCheck.violation(response.getStatus(), response.getHeaders());
        if (violation.isPresent()) {
            fail(SendException.Kind.ANSWER_INCOMPLETE, "the upstream sent " + violation.get());
            return;
        }
        if (!hasReliableEnd(response)) {
            return;
        }
        BufferedResponse sentHead =
                new BufferedResponse(response.getStatus(), EndToEndHeaders.of(response.getHeaders()), NO_BODY);
        try {
            head = protocol.translateResponse(sentRequest, sentHead);
        } catch (SendException e) {
            fail(e);
            return;
        }
        if (!protocol.permitsConnectionReuse(sentRequest, sentHead)) {
            responseFuture.complete(head);
            abort(new CancellationException("the connection must not be reused"));
            return;
        }
        long length = response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
        if (!hasBody(response) || length == 0) {
            return;
        }
        bodyReserved = length == LENGTH_UNKNOWN
                ? reserveFor(0, bodyReservation::reserveFor)
                : reserveFor(length, bodyReservation::reserveWhole).thenApply(reserved -> {
                    if (reserved) {
                        body = BodyBuffer.ofLength((int) length);
                    }
                    return reserved;
                });
    }

    /**
     * Buffers a part of the body once the bytes for it are reserved. Until then the connection is not read from, so that
     * the upstream waits as well.
     */
    @Override
    public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
        chunk.retain();
        var unused = bodyReserved
                .thenCompose(done -> reserveFor(body.size() + (long) chunk.remaining(), bodyReservation::reserveFor))
                .thenAccept(reserved -> {
                    if (reserved) {
                        body.append(chunk.getByteBuffer());
                    }
                })
                .whenComplete((appended, failure) -> {
                    if (failure != null) {
                        failNotHeld(body.size() + (long) chunk.remaining());
                    }
                    chunk.release();
                    demander.run();
                });
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        throw new UnsupportedOperationException("the content is received in chunks");
    }

    /** Returns whether the body may reach this size; if not, this response has failed. */
    private CompletableFuture<Boolean> reserveFor(long bodyBytes, LongFunction<CompletableFuture<Boolean>> reserve) {
        if (responseFuture.isDone()) {
            return CompletableFuture.completedFuture(false);
        }
        if (bodyBytes > limitBytes) {
            fail(SendException.Kind.ANSWER_TOO_LARGE, "the response exceeds " + limitBytes + " bytes");
            return CompletableFuture.completedFuture(false);
        }
        return reserve.apply(bodyBytes).thenApply(reserved -> {
            if (!reserved && !responseFuture.isDone()) {
                failNotHeld(bodyBytes);
            }
            return reserved;
        });
    }

    private void failNotHeld(long bodyBytes) {
        fail(
                SendException.Kind.ANSWER_NOT_HELD,
                "cannot buffer " + bodyBytes + " bytes of a response: the limit of held bytes is lower");
    }

    private void fail(SendException.Kind kind, String message) {
        fail(new SendException(kind, message, null));
    }

    private void fail(SendException failure) {
        responseFuture.completeExceptionally(failure);
        abort(failure);
    }

    /**
     * Aborts the exchange and closes its connection; the client then calls {@link #onComplete}.
     *
     * <p>The client itself closes the connection only after the bytes that it is reading, of which there may be no end.
     */
    private void abort(Throwable cause) {
        abort(cause, ABORT_ATTEMPTS);
    }

    /**
     * Repeats an abort that the client refuses as long as it does not complete the exchange. It refuses an abort of a
     * completed exchange, whose connection may be in use for another one, but also while it skips an interim response.
     */
    private void abort(Throwable cause, int attemptsLeft) {
        CompletableFuture<Boolean> aborted = exchange.abort(cause);
        boolean refused = aborted.isDone() && !aborted.isCompletedExceptionally() && !aborted.join();
        if (!refused || attemptsLeft == 0) {
            closeConnection();
            return;
        }
        CompletableFuture.delayedExecutor(ABORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                .execute(() -> {
                    if (!completed) {
                        abort(cause, attemptsLeft - 1);
                    }
                });
    }

    /** The client accepts a chunked body without the line break after its last chunk if the connection is closed there. */
    @Override
    public void onSuccess(Response response) {
        truncated = isChunked(response) && inputEnded();
    }

    private boolean inputEnded() {
        return exchange.getConnection() instanceof Connection connection
                && connection.getEndPoint().isInputShutdown();
    }

    @Override
    public void onComplete(Result result) {
        completed = true;
        if (!complete(result)) {
            body = BodyBuffer.ofLength(0);
            bodyReservation.release();
        }
    }

    private boolean complete(Result result) {
        if (responseFuture.isDone()) {
            return false;
        }
        if (result.isFailed()) {
            responseFuture.completeExceptionally(new SendException(
                    failureKind(),
                    "the exchange with the upstream failed: "
                            + result.getFailure().getClass().getSimpleName(),
                    result.getFailure()));
            return false;
        }
        Response received = result.getResponse();
        if (!hasReliableEnd(received)) {
            responseFuture.completeExceptionally(new SendException(
                    SendException.Kind.ANSWER_INCOMPLETE,
                    "the response has neither a Content-Length nor chunked encoding",
                    null));
            return false;
        }
        if (truncated) {
            responseFuture.completeExceptionally(new SendException(
                    SendException.Kind.ANSWER_INCOMPLETE,
                    "the connection was closed before the end of the body",
                    null));
            return false;
        }
        BufferedResponse response = new BufferedResponse(head.status(), head.headers(), body.toByteBuffer());
        body = BodyBuffer.ofLength(0);
        return responseFuture.complete(response);
    }

    /**
     * Closes the end point. Closing the connection would release the buffer that a thread may be reading into, which another
     * connection could then use at the same time.
     */
    private void closeConnection() {
        if (exchange.getConnection() instanceof Connection connection) {
            connection.getEndPoint().close();
        }
    }

    private SendException.Kind failureKind() {
        if (!requestBegun) {
            return SendException.Kind.NOT_WRITTEN;
        }
        return responseBegun ? SendException.Kind.ANSWER_INCOMPLETE : SendException.Kind.CONNECTION_LOST;
    }

    /**
     * Returns whether a response that ended is known to be complete. A close-delimited body may be truncated, unless
     * the protocol of the upstreams rules that out.
     */
    private boolean hasReliableEnd(Response response) {
        return protocol.acceptsCloseDelimitedResponses()
                || !hasBody(response)
                || response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) != LENGTH_UNKNOWN
                || isChunked(response);
    }

    private static boolean isChunked(Response response) {
        return response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING, "chunked");
    }

    private boolean hasBody(Response response) {
        int status = response.getStatus();
        return !HttpMethod.HEAD.is(exchange.getMethod())
                && status != HttpStatus.NO_CONTENT_204
                && status != HttpStatus.NOT_MODIFIED_304;
    }
}
