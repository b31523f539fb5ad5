package org.sardinepost.core.token;

/** Counts the bytes of stored answers and of room reserved for answers against a limit. */
final class AnswerRoom {
    private final long limitBytes;
    private long usedBytes;

    AnswerRoom(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    boolean reserve(long bytes) {
        if (bytes > limitBytes - usedBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        usedBytes -= bytes;
    }

    long usedBytes() {
        return usedBytes;
    }
}
