package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** Collects one answer until its end. */
final class AnswerCollector implements Response.Listener {
    private static final long NO_LENGTH = -1;
    private static final long LARGEST_BODY_BYTES = Integer.MAX_VALUE - 8;

    private final Request exchange;
    private final HeldRequest sent;
    private final UpstreamProtocol protocol;
    private final long limitBytes;
    private final HeldReservation reservation;
    private final CompletableFuture<HeldAnswer> answer = new CompletableFuture<>();
    private volatile boolean writing;
    private volatile boolean answerBegun;
    private BodyBuffer body = new BodyBuffer(0);
    private long reservedBytes;

    AnswerCollector(
            Request exchange,
            HeldRequest sent,
            UpstreamProtocol protocol,
            long limitBytes,
            HeldReservation reservation) {
        this.exchange = exchange;
        this.sent = sent;
        this.protocol = protocol;
        this.limitBytes = Math.min(limitBytes, LARGEST_BODY_BYTES);
        this.reservation = reservation;
        var unused = answer.whenComplete((held, failure) -> {
            if (answer.isCancelled()) {
                abort(new CancellationException("the call was given up"));
            }
        });
    }

    CompletableFuture<HeldAnswer> answer() {
        return answer;
    }

    /** Notes when the first byte may leave; before that the request is known not to have run. */
    Request.Listener requestListener() {
        return new Request.Listener() {
            @Override
            public void onBegin(Request request) {
                writing = true;
            }
        };
    }

    @Override
    public void onBegin(Response response) {
        answerBegun = true;
    }

    @Override
    public void onHeaders(Response response) {
        long length = response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
        if (hasBody(response) && length > 0 && reserveUpTo(length)) {
            body = new BodyBuffer((int) length);
        }
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        if (reserveUpTo(body.size() + (long) content.remaining())) {
            body.append(content);
        }
    }

    private boolean reserveUpTo(long size) {
        if (answer.isDone()) {
            return false;
        }
        if (size > limitBytes) {
            giveUp(SendException.Kind.ANSWER_TOO_LARGE, "the answer exceeds " + limitBytes + " bytes");
            return false;
        }
        long missing = size - reservedBytes;
        if (missing > 0 && !reservation.tryAddForAnswer(missing)) {
            giveUp(SendException.Kind.ANSWER_NOT_HELD, "no room to hold " + size + " bytes of an answer");
            return false;
        }
        reservedBytes = Math.max(size, reservedBytes);
        return true;
    }

    private void giveUp(SendException.Kind kind, String message) {
        SendException failure = new SendException(kind, message, null);
        answer.completeExceptionally(failure);
        abort(failure);
    }

    /** Ends the exchange and closes its connection; the result arrives at onComplete. */
    private void abort(Throwable cause) {
        var unused = exchange.abort(cause);
    }

    @Override
    public void onComplete(Result result) {
        if (!complete(result)) {
            body = new BodyBuffer(0);
            reservation.giveBack(reservedBytes);
            reservedBytes = 0;
        }
    }

    private boolean complete(Result result) {
        if (result.isFailed()) {
            answer.completeExceptionally(new SendException(
                    failureKind(),
                    "the exchange with the upstream failed: "
                            + result.getFailure().getClass().getSimpleName(),
                    result.getFailure()));
            return false;
        }
        Response response = result.getResponse();
        if (!endIsKnown(response)) {
            answer.completeExceptionally(new SendException(
                    SendException.Kind.ANSWER_INCOMPLETE, "the answer has neither a length nor chunks", null));
            return false;
        }
        HeldAnswer whole =
                new HeldAnswer(response.getStatus(), EndToEndHeaders.of(response.getHeaders()), body.toByteBuffer());
        try {
            return answer.complete(protocol.answer(sent, whole));
        } catch (SendException e) {
            // Another answer may still come on this connection.
            closeConnection();
            answer.completeExceptionally(e);
            return false;
        }
    }

    private void closeConnection() {
        Connection connection = exchange.getConnection();
        if (connection != null) {
            connection.close();
        }
    }

    private SendException.Kind failureKind() {
        if (!writing) {
            return SendException.Kind.NOT_WRITTEN;
        }
        return answerBegun ? SendException.Kind.ANSWER_INCOMPLETE : SendException.Kind.CONNECTION_LOST;
    }

    /** Unless the upstreams promise otherwise, a body that ends with its connection may have been cut. */
    private boolean endIsKnown(Response response) {
        return protocol.closeEndsAnswer()
                || !hasBody(response)
                || response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) != NO_LENGTH
                || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING, "chunked");
    }

    private boolean hasBody(Response response) {
        int status = response.getStatus();
        return !HttpMethod.HEAD.is(exchange.getMethod())
                && status != HttpStatus.NO_CONTENT_204
                && status != HttpStatus.NOT_MODIFIED_304;
    }
}
