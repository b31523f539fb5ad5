package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A growable buffer for a message body. */
final class BodyBuffer {
    private static final int MIN_GROWTH_BYTES = 1024;

    private final int maxBytes;
    private byte[] bytes;
    private int size;

    private BodyBuffer(int expectedBytes, int maxBytes) {
        this.bytes = new byte[expectedBytes];
        this.maxBytes = maxBytes;
    }

    /** Creates a buffer for a body of this length, which is allocated at once to avoid copies. */
    static BodyBuffer ofLength(int bytes) {
        return new BodyBuffer(bytes, bytes);
    }

    /** Creates a buffer that grows up to the given size. */
    static BodyBuffer growing(int maxBytes) {
        return new BodyBuffer(0, maxBytes);
    }

    int size() {
        return size;
    }

    /** Returns the memory that appending a part takes: while the buffer grows, it exists twice. */
    long bytesToAppend(int length) {
        long capacity = capacityToAppend(length);
        return capacity == bytes.length ? capacity : bytes.length + capacity;
    }

    /** Appends a part, with which the body must not exceed its maximum size. */
    void append(ByteBuffer part) {
        int length = part.remaining();
        long capacity = capacityToAppend(length);
        if (capacity > bytes.length) {
            bytes = Arrays.copyOf(bytes, (int) capacity);
        }
        part.get(bytes, size, length);
        size += length;
    }

    private long capacityToAppend(int length) {
        long needed = (long) size + length;
        if (needed <= bytes.length) {
            return bytes.length;
        }
        return Math.max(needed, Math.min(maxBytes, 2L * bytes.length + MIN_GROWTH_BYTES));
    }

    ByteBuffer toByteBuffer() {
        return ByteBuffer.wrap(bytes, 0, size).slice();
    }
}
