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
    private final BodyBuffer body;
    private final CompletableFuture<ByteBuffer> whole = new CompletableFuture<>();

    private RequestBodyReader(Request request, long limitBytes) {
        this.request = request;
        this.limitBytes = limitBytes;
        this.body = new BodyBuffer((int) Math.max(0, Math.min(request.getLength(), limitBytes)));
    }

    static CompletableFuture<ByteBuffer> read(Request request, long limitBytes) {
        RequestBodyReader reader = new RequestBodyReader(request, limitBytes);
        if (request.getLength() > limitBytes) {
            reader.tooLarge();
        } else {
            reader.readAvailable();
        }
        return reader.whole;
    }

    private void readAvailable() {
        while (!whole.isDone()) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this::readAvailable);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                malformed(chunk.getFailure());
                return;
            }
            take(chunk);
        }
    }

    private void take(Content.Chunk chunk) {
        boolean last = chunk.isLast();
        if (body.size() + (long) chunk.remaining() > limitBytes) {
            chunk.release();
            tooLarge();
            return;
        }
        body.append(chunk.getByteBuffer());
        chunk.release();
        if (last) {
            whole.complete(body.toByteBuffer());
        }
    }

    private void tooLarge() {
        whole.completeExceptionally(new RefusedException(
                RefusalReason.REQUEST_TOO_LARGE, "the request body exceeds " + limitBytes + " bytes"));
    }

    private void malformed(Throwable cause) {
        whole.completeExceptionally(new RefusedException(
                RefusalReason.MALFORMED_REQUEST, "the request body did not reach its end: " + cause.getMessage()));
    }
}
