package org.sardinepost.daemon.call;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the bytes of all requests and responses that this daemon buffers, and enforces a common limit. */
public final class HeldBytes {
    /** Requests may use three quarters of the limit; the rest is left for the responses to admitted requests. */
    private static final int REQUEST_QUARTERS = 3;

    private final long limitBytes;
    private final long requestLimitBytes;
    private final AtomicLong used = new AtomicLong();

    public HeldBytes(long limitBytes) {
        this.limitBytes = limitBytes;
        this.requestLimitBytes = limitBytes / 4 * REQUEST_QUARTERS;
    }

    /** Opens an empty reservation for one call. */
    HeldBytesReservation openReservation() {
        return new HeldBytesReservation(this);
    }

    public long usedBytes() {
        return used.get();
    }

    boolean tryReserveForRequest(long bytes) {
        return tryReserve(bytes, requestLimitBytes);
    }

    boolean tryReserveForResponse(long bytes) {
        return tryReserve(bytes, limitBytes);
    }

    private boolean tryReserve(long bytes, long limit) {
        if (used.addAndGet(bytes) <= limit) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        used.addAndGet(-bytes);
    }
}
