package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * A response that was received completely.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers
 * @param body the complete body; read-only
 */
public record BufferedResponse(int status, HttpFields headers, ByteBuffer body) {
    public BufferedResponse {
        headers = headers.asImmutable();
        body = body.asReadOnlyBuffer();
    }

    /** Returns a view of the body at its start, with an independent position. */
    @Override
    public ByteBuffer body() {
        return body.duplicate();
    }

    /** Returns a copy of this response with one header set. */
    public BufferedResponse withHeader(String name, String value) {
        return new BufferedResponse(status, HttpFields.build(headers).put(name, value), body);
    }
}
