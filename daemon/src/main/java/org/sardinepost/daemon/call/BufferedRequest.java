package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.Objects;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.BufferUtil;

/**
 * A request that was received completely.
 *
 * @param method the HTTP method
 * @param target the request target: path and query exactly as the caller sent them
 * @param headers the end-to-end headers
 * @param body the complete body; read-only
 * @param hasBody whether the request has a body, possibly of length 0
 */
public record BufferedRequest(String method, String target, HttpFields headers, ByteBuffer body, boolean hasBody) {
    public BufferedRequest {
        Objects.requireNonNull(method);
        Objects.requireNonNull(target);
        headers = headers.asImmutable();
        body = body.asReadOnlyBuffer();
    }

    static BufferedRequest withoutBody(RequestHead head) {
        return new BufferedRequest(
                head.method(), head.target(), EndToEndHeaders.of(head.headers()), BufferUtil.EMPTY_BUFFER, false);
    }

    /** Returns a view of the body at its start, with an independent position. */
    @Override
    public ByteBuffer body() {
        return body.duplicate();
    }

    /** Returns the request target without the query. */
    public String path() {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }

    public BufferedRequest withHeaders(HttpFields newHeaders) {
        return new BufferedRequest(method, target, newHeaders, body, hasBody);
    }
}
