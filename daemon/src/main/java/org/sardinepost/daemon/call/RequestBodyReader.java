package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/** Reads a complete request body, and demands more from the connection only while memory can be reserved. */
final class RequestBodyReader {
    private final Request request;
    private final long limitBytes;
    private final HeldBytesReservation reservation;
    private final CompletableFuture<ByteBuffer> bodyFuture = new CompletableFuture<>();
    private BodyBuffer body = BodyBuffer.ofLength(0);
    private long reservedBytes;

    private RequestBodyReader(Request request, long limitBytes, HeldBytesReservation reservation) {
        this.request = request;
        this.limitBytes = Math.min(limitBytes, Integer.MAX_VALUE - 8);
        this.reservation = reservation;
    }

    /**
     * Returns the buffered body. The future fails with {@link RefusedException} if the body is too large, truncated or
     * cannot be buffered.
     */
    static CompletableFuture<ByteBuffer> read(Request request, long limitBytes, HeldBytesReservation reservation) {
        RequestBodyReader reader = new RequestBodyReader(request, limitBytes, reservation);
        reader.start();
        return reader.bodyFuture;
    }

    private void start() {
        long length = request.getLength();
        boolean lengthKnown = length >= 0;
        if (lengthKnown && !reserve(length, length)) {
            return;
        }
        body = lengthKnown ? BodyBuffer.ofLength((int) length) : BodyBuffer.growing((int) limitBytes);
        readAvailable();
    }

    private void readAvailable() {
        while (!bodyFuture.isDone()) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this::readAvailable);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                refuse(RefusalReason.MALFORMED_REQUEST, "the request body is incomplete");
                return;
            }
            consume(chunk);
        }
    }

    private void consume(Content.Chunk chunk) {
        boolean last = chunk.isLast();
        int length = chunk.remaining();
        boolean reserved = reserve(body.size() + (long) length, body.bytesToAppend(length));
        if (reserved) {
            body.append(chunk.getByteBuffer());
        }
        chunk.release();
        if (reserved && last) {
            bodyFuture.complete(body.toByteBuffer());
        }
    }

    /**
     * Reserves memory for the body to reach a size.
     *
     * @param memoryBytes the memory that the body needs then, including copies
     */
    private boolean reserve(long size, long memoryBytes) {
        if (size > limitBytes) {
            refuse(RefusalReason.REQUEST_TOO_LARGE, "the request body exceeds " + limitBytes + " bytes");
            return false;
        }
        long additionalBytes = memoryBytes - reservedBytes;
        if (additionalBytes > 0 && !reservation.tryReserveForRequest(additionalBytes)) {
            bodyFuture.completeExceptionally(new RefusedException(
                            RefusalReason.HELD_BYTES_FULL,
                            "cannot buffer " + size + " bytes of a request: the limit of held bytes is reached")
                    .withRetryAfter(HeldBytes.RETRY_AFTER));
            return false;
        }
        reservedBytes = Math.max(memoryBytes, reservedBytes);
        return true;
    }

    private void refuse(RefusalReason reason, String detail) {
        bodyFuture.completeExceptionally(new RefusedException(reason, detail));
    }
}
