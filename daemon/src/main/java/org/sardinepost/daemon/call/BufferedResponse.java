package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** A response that was received completely. Copies of it share its body. */
public final class BufferedResponse {
    private final int status;
    private final HttpFields headers;
    private final Body body;

    /**
     * Creates a response.
     *
     * @param status the HTTP status
     * @param headers the end-to-end headers
     * @param body the complete body; read-only
     */
    public BufferedResponse(int status, HttpFields headers, ByteBuffer body) {
        this(status, headers, new Body(body));
    }

    private BufferedResponse(int status, HttpFields headers, Body body) {
        this.status = status;
        this.headers = headers.asImmutable();
        this.body = body;
    }

    public int status() {
        return status;
    }

    public HttpFields headers() {
        return headers;
    }

    /** Returns a view of the body at its start, with an independent position. */
    public ByteBuffer body() {
        return body.bytes.duplicate();
    }

    /** Returns a copy of this response with one header set. */
    public BufferedResponse withHeader(String name, String value) {
        return withHeaders(HttpFields.build(headers).put(name, value));
    }

    /** Returns a copy of this response with other headers. */
    BufferedResponse withHeaders(HttpFields otherHeaders) {
        return new BufferedResponse(status, otherHeaders, body);
    }

    /**
     * Drops the body of this response and its copies after it was written. An idle connection refers to the response of its
     * last call until the next one begins.
     */
    void discardBody() {
        body.bytes = Body.NONE;
    }

    private static final class Body {
        private static final ByteBuffer NONE = ByteBuffer.allocate(0).asReadOnlyBuffer();

        private volatile ByteBuffer bytes;

        Body(ByteBuffer bytes) {
            this.bytes = bytes.asReadOnlyBuffer();
        }
    }
}
