package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingNestedCallback;

/** Writes a buffered response to the caller, a large body in slices. */
final class ResponseWriter extends IteratingNestedCallback {
    private final Response response;
    private final ByteBuffer body;

    private ResponseWriter(Response response, ByteBuffer body, Callback callback) {
        super(callback);
        this.response = response;
        this.body = body;
    }

    static void write(BufferedResponse bufferedResponse, Request request, Response response, Callback callback) {
        response.reset();
        response.setStatus(bufferedResponse.status());
        for (HttpField field : bufferedResponse.headers()) {
            response.getHeaders().add(field);
        }
        ByteBuffer body = bufferedResponse.body();
        if (body.remaining() <= BodySlices.SLICE_BYTES) {
            response.write(true, body, callback);
            return;
        }
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.remaining());
        new ResponseWriter(response, body, callback).iterate();
    }

    @Override
    protected Action process() {
        if (!body.hasRemaining()) {
            return Action.SUCCEEDED;
        }
        ByteBuffer slice = BodySlices.next(body);
        response.write(!body.hasRemaining(), slice, this);
        return Action.SCHEDULED;
    }
}
