package org.sardinepost.core.token;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/** A complete response that is stored for replay to repeated requests. */
public final class StoredResponse {
    private static final long OVERHEAD_BYTES = 64;
    private static final long OVERHEAD_BYTES_PER_HEADER = 96;

    private final int status;
    private final List<ResponseHeader> headers;
    private final byte[] body;

    /** Creates a response. The body is not copied and must not be modified afterwards. */
    public StoredResponse(int status, List<ResponseHeader> headers, byte[] body) {
        this.status = status;
        this.headers = List.copyOf(headers);
        this.body = Objects.requireNonNull(body);
    }

    public int status() {
        return status;
    }

    public List<ResponseHeader> headers() {
        return headers;
    }

    /** Returns the body without copying it, because it may be large. Callers must not modify it. */
    public byte[] body() {
        return body;
    }

    /** Returns the estimated memory use in bytes, which is charged to the response budget. */
    public long sizeBytes() {
        long headerBytes = headers.stream().mapToLong(StoredResponse::sizeBytes).sum();
        return OVERHEAD_BYTES + headerBytes + body.length;
    }

    private static long sizeBytes(ResponseHeader header) {
        return OVERHEAD_BYTES_PER_HEADER
                + header.name().length()
                + header.value().length();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredResponse response
                && status == response.status
                && headers.equals(response.headers)
                && Arrays.equals(body, response.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, headers, Arrays.hashCode(body));
    }
}
