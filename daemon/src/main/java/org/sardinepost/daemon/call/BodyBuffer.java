package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Collects the parts of a body. */
final class BodyBuffer {
    private static final int SMALLEST_GROWTH_BYTES = 1024;

    private byte[] bytes;
    private int size;

    /** A buffer with room for a known length, which avoids copies; 0 if the length is unknown. */
    BodyBuffer(int expectedBytes) {
        this.bytes = new byte[expectedBytes];
    }

    int size() {
        return size;
    }

    void append(ByteBuffer part) {
        int length = part.remaining();
        if (bytes.length - size < length) {
            bytes = Arrays.copyOf(bytes, Math.max(size + length, 2 * bytes.length + SMALLEST_GROWTH_BYTES));
        }
        part.get(bytes, size, length);
        size += length;
    }

    ByteBuffer toByteBuffer() {
        return ByteBuffer.wrap(bytes, 0, size).slice();
    }
}
