package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.Objects;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request that was read to its end.
 *
 * @param method the HTTP method
 * @param target path and query exactly as the caller sent them
 * @param headers end-to-end headers
 * @param body the whole body; read-only
 * @param hasBody whether the request was framed with a body, possibly of length 0
 */
public record HeldRequest(String method, String target, HttpFields headers, ByteBuffer body, boolean hasBody) {
    public HeldRequest {
        Objects.requireNonNull(method);
        Objects.requireNonNull(target);
        headers = headers.asImmutable();
        body = body.asReadOnlyBuffer();
    }

    /** The body, from its start, with a position of its own. */
    @Override
    public ByteBuffer body() {
        return body.duplicate();
    }

    /** The target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    public HeldRequest withHeaders(HttpFields other) {
        return new HeldRequest(method, target, other, body, hasBody);
    }
}
