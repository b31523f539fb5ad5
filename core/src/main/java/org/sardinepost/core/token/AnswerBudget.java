package org.sardinepost.core.token;

/** A byte budget that stored answers and reservations for pending answers share. */
final class AnswerBudget {
    private final long limitBytes;
    private long usedBytes;

    AnswerBudget(long limitBytes) {
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
