package org.sardinepost.core.token;

/** A byte budget that stored responses and reservations for pending responses share. */
final class ResponseBudget {
    private final long limitBytes;
    private long usedBytes;

    ResponseBudget(long limitBytes) {
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
