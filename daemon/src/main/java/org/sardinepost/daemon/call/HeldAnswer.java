package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * An answer that was read to its end.
 *
 * @param status the HTTP status
 * @param headers end-to-end headers
 * @param body the whole body; read-only
 */
public record HeldAnswer(int status, HttpFields headers, ByteBuffer body) {
    public HeldAnswer {
        headers = headers.asImmutable();
        body = body.asReadOnlyBuffer();
    }

    /** The body, from its start, with a position of its own. */
    @Override
    public ByteBuffer body() {
        return body.duplicate();
    }

    /** The same answer with one header set. */
    public HeldAnswer withHeader(String name, String value) {
        return new HeldAnswer(status, HttpFields.build(headers).put(name, value), body);
    }
}
