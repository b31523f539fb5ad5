package org.sardinepost.core.token;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/** A whole answer that is kept for repeats of its request. */
public final class StoredAnswer {
    private static final long FIXED_BYTES = 64;
    private static final long BYTES_PER_HEADER = 96;

    private final int status;
    private final List<AnswerHeader> headers;
    private final byte[] body;

    /** An answer; the body is not copied and must not be changed afterwards. */
    public StoredAnswer(int status, List<AnswerHeader> headers, byte[] body) {
        this.status = status;
        this.headers = List.copyOf(headers);
        this.body = Objects.requireNonNull(body);
    }

    public int status() {
        return status;
    }

    public List<AnswerHeader> headers() {
        return headers;
    }

    /** The body itself, not a copy: answers may be large and are only read. */
    public byte[] body() {
        return body;
    }

    /** Memory that the answer is charged with, in bytes. */
    public long sizeBytes() {
        long headerBytes = headers.stream().mapToLong(StoredAnswer::sizeBytes).sum();
        return FIXED_BYTES + headerBytes + body.length;
    }

    private static long sizeBytes(AnswerHeader header) {
        return BYTES_PER_HEADER + header.name().length() + header.value().length();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredAnswer answer
                && status == answer.status
                && headers.equals(answer.headers)
                && Arrays.equals(body, answer.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, headers, Arrays.hashCode(body));
    }
}
