package org.sardinepost.daemon.http;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.util.BufferUtil;

/**
 * The bytes of a caller connection that were read before the HTTP server asked for them.
 *
 * <p>Passes them on to the server up to the end of the next request head, so that pipelined requests stay here, where
 * {@link #nextHead} finds them. The stream of bytes is unchanged. Not thread-safe.
 */
public final class ReadAheadBuffer {
    private static final byte[] HTTP2_PREFACE_START = {'P', 'R', 'I', ' '};

    private static final int INITIAL_CAPACITY = 1 << 10;

    private final int maxCapacity;
    private final HeadBoundaryScanner passedBytes = new HeadBoundaryScanner();
    private ByteBuffer buffer = BufferUtil.EMPTY_BUFFER;
    /** The number of bytes in the buffer that {@link #nextHead} has returned. */
    private int returnedBytes;

    private boolean started;
    private boolean http2;

    /** Creates an empty buffer that grows up to a number of bytes. */
    public ReadAheadBuffer(int maxCapacity) {
        this.maxCapacity = maxCapacity;
    }

    public boolean isEmpty() {
        return !buffer.hasRemaining();
    }

    public boolean isFull() {
        return buffer.remaining() >= maxCapacity;
    }

    /** Returns the number of bytes that wait for the server. */
    public int size() {
        return buffer.remaining();
    }

    /** Returns the memory that the buffer occupies. */
    public int capacity() {
        return buffer.capacity();
    }

    /** Returns whether the connection turned out to be one of HTTP/2, which has no heads of its own. */
    public boolean isHttp2() {
        return http2;
    }

    /** Returns the buffer to which bytes from the connection are appended; it is in flush mode, as usual in Jetty. */
    public ByteBuffer writable() {
        if (buffer.remaining() == buffer.capacity()) {
            ByteBuffer larger = BufferUtil.allocate(
                    Math.max(Math.min(INITIAL_CAPACITY, maxCapacity), Math.min(maxCapacity, 2 * buffer.capacity())));
            BufferUtil.append(larger, buffer);
            buffer = larger;
        }
        return buffer;
    }

    /** Releases the memory of an empty buffer, which {@link #writable} allocates again. */
    public void releaseMemory() {
        if (isEmpty()) {
            buffer = BufferUtil.EMPTY_BUFFER;
            returnedBytes = 0;
        }
    }

    /** Passes bytes on to the server, up to the end of the next head, and returns their number. */
    public int transferTo(ByteBuffer target) {
        int length = Math.min(buffer.remaining(), BufferUtil.space(target));
        int passed = pass(buffer, buffer.position(), length);
        ByteBuffer slice = buffer.slice(buffer.position(), passed);
        buffer.position(buffer.position() + passed);
        returnedBytes = Math.max(0, returnedBytes - passed);
        releaseMemory();
        return BufferUtil.append(target, slice);
    }

    /**
     * Removes the bytes after the end of the first head from a buffer that was filled for the server, and keeps them.
     *
     * @param filled a buffer in flush mode whose last {@code length} bytes were just read from the connection
     * @return the number of bytes that remain in the buffer of those that were read
     */
    public int retainSurplus(ByteBuffer filled, int length) {
        int start = filled.limit() - length;
        int passed = pass(filled, start, length);
        if (passed < length) {
            ByteBuffer surplus = filled.slice(start + passed, length - passed);
            buffer = BufferUtil.allocate(Math.max(INITIAL_CAPACITY, surplus.remaining()));
            BufferUtil.append(buffer, surplus);
            filled.limit(start + passed);
        }
        return passed;
    }

    /**
     * Returns the next complete request head that this method has not returned yet, without removing it from the stream.
     *
     * <p>Returns empty if it is uncertain where the next request begins. The caller must know that the last request that
     * the server received has no body.
     */
    public Optional<ByteBuffer> nextHead() {
        if (http2 || !passedBytes.afterStrictHead()) {
            return Optional.empty();
        }
        HeadBoundaryScanner scanner = new HeadBoundaryScanner();
        int start = buffer.position() + returnedBytes;
        for (int index = start; index < buffer.limit(); index++) {
            if (scanner.accept(buffer.get(index))) {
                if (!scanner.afterStrictHead()) {
                    return Optional.empty();
                }
                int length = index + 1 - start;
                returnedBytes += length;
                byte[] head = new byte[length];
                buffer.get(start, head);
                return Optional.of(ByteBuffer.wrap(head));
            }
        }
        return Optional.empty();
    }

    /** Scans bytes that are passed on, and returns how many of them belong to the current head. */
    private int pass(ByteBuffer source, int start, int length) {
        if (!started && length > 0) {
            started = true;
            http2 = startsHttp2(source, start, length);
        }
        if (http2) {
            return length;
        }
        for (int index = start; index < start + length; index++) {
            if (passedBytes.accept(source.get(index))) {
                return index + 1 - start;
            }
        }
        return length;
    }

    private static boolean startsHttp2(ByteBuffer source, int start, int length) {
        int compared = Math.min(length, HTTP2_PREFACE_START.length);
        for (int index = 0; index < compared; index++) {
            if (source.get(start + index) != HTTP2_PREFACE_START[index]) {
                return false;
            }
        }
        return compared == HTTP2_PREFACE_START.length;
    }
}
