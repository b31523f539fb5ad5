package org.sardinepost.daemon.call;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the bytes of all requests and answers that this daemon holds, and keeps them within one limit. */
public final class HeldBytes {
    /** Requests may fill three quarters, so that the answers to admitted requests still find room. */
    private static final int REQUEST_QUARTERS = 3;

    private final long limitBytes;
    private final long requestLimitBytes;
    private final AtomicLong used = new AtomicLong();

    public HeldBytes(long limitBytes) {
        this.limitBytes = limitBytes;
        this.requestLimitBytes = limitBytes / 4 * REQUEST_QUARTERS;
    }

    /** Starts the account of one call. */
    HeldReservation open() {
        return new HeldReservation(this);
    }

    public long usedBytes() {
        return used.get();
    }

    boolean tryAddForRequest(long bytes) {
        return tryAdd(bytes, requestLimitBytes);
    }

    boolean tryAddForAnswer(long bytes) {
        return tryAdd(bytes, limitBytes);
    }

    private boolean tryAdd(long bytes, long limit) {
        if (used.addAndGet(bytes) <= limit) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    void remove(long bytes) {
        used.addAndGet(-bytes);
    }
}
