package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A growable buffer for a message body. */
final class BodyBuffer {
    private static final int MIN_GROWTH_BYTES = 1024;

    private byte[] bytes;
    private int size;

    /**
     * Creates a buffer.
     *
     * @param expectedBytes the length of the body, allocated at once to avoid copies; 0 if it is unknown
     */
    BodyBuffer(int expectedBytes) {
        this.bytes = new byte[expectedBytes];
    }

    int size() {
        return size;
    }

    void append(ByteBuffer part) {
        int length = part.remaining();
        if (bytes.length - size < length) {
            bytes = Arrays.copyOf(bytes, Math.max(size + length, 2 * bytes.length + MIN_GROWTH_BYTES));
        }
        part.get(bytes, size, length);
        size += length;
    }

    ByteBuffer toByteBuffer() {
        return ByteBuffer.wrap(bytes, 0, size).slice();
    }
}
