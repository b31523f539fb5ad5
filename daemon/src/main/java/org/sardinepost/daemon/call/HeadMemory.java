package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;

/** Estimates the memory of a parsed request head. */
final class HeadMemory {
    /** A parsed field is an object with two strings and its entry in a list, which the shortest fields need as well. */
    private static final int LINE_BYTES = 160;

    private HeadMemory() {}

    /** Returns the memory for the bytes between position and limit. */
    static long of(ByteBuffer bytes) {
        long lines = 0;
        for (int index = bytes.position(); index < bytes.limit(); index++) {
            if (bytes.get(index) == '\n') {
                lines++;
            }
        }
        return bytes.remaining() + lines * LINE_BYTES;
    }
}
