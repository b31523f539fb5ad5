package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;

/** Reads a request body to its end, asking the connection for more only while there is room. */
final class RequestBodyReader {
    private final Request request;
    private final long limitBytes;
    private final HeldReservation reservation;
    private final CompletableFuture<ByteBuffer> whole = new CompletableFuture<>();
    private BodyBuffer body = new BodyBuffer(0);
    private long reservedBytes;

    private RequestBodyReader(Request request, long limitBytes, HeldReservation reservation) {
        this.request = request;
        this.limitBytes = Math.min(limitBytes, Integer.MAX_VALUE - 8);
        this.reservation = reservation;
    }

    /** The future fails with {@link RefusedException} if the body is too large, cut or finds no room. */
    static CompletableFuture<ByteBuffer> read(Request request, long limitBytes, HeldReservation reservation) {
        RequestBodyReader reader = new RequestBodyReader(request, limitBytes, reservation);
        reader.start();
        return reader.whole;
    }

    private void start() {
        long length = Math.max(0, request.getLength());
        if (reserveUpTo(length)) {
            body = new BodyBuffer((int) length);
            readAvailable();
        }
    }

    private void readAvailable() {
        while (!whole.isDone()) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this::readAvailable);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                refuse(RefusalReason.MALFORMED_REQUEST, "the request body did not reach its end");
                return;
            }
            take(chunk);
        }
    }

    private void take(Content.Chunk chunk) {
        boolean last = chunk.isLast();
        boolean room = reserveUpTo(body.size() + (long) chunk.remaining());
        if (room) {
            body.append(chunk.getByteBuffer());
        }
        chunk.release();
        if (room && last) {
            whole.complete(body.toByteBuffer());
        }
    }

    private boolean reserveUpTo(long size) {
        if (size > limitBytes) {
            refuse(RefusalReason.REQUEST_TOO_LARGE, "the request body exceeds " + limitBytes + " bytes");
            return false;
        }
        long missing = size - reservedBytes;
        if (missing > 0 && !reservation.tryAddForRequest(missing)) {
            refuse(RefusalReason.HELD_BYTES_FULL, "no room to hold " + size + " bytes of a request");
            return false;
        }
        reservedBytes = Math.max(size, reservedBytes);
        return true;
    }

    private void refuse(RefusalReason reason, String detail) {
        whole.completeExceptionally(new RefusedException(reason, detail));
    }
}
