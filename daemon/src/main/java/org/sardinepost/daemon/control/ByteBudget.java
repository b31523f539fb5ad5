package org.sardinepost.daemon.control;

import java.util.concurrent.TimeUnit;

/**
 * Limits the bytes per second of control traffic with a token bucket.
 *
 * <p>Configuration and leaving marks are always sent and only charged to the budget. Load batches are sent only if the
 * budget allows, so their interval grows with the number of daemons. Confined to the control thread.
 */
final class ByteBudget {
    /** The limit of control traffic per node. */
    static final long LIMIT_BYTES_PER_SECOND = 29_000;

    /** Ethernet, IP and TCP headers of one small message, and its share of a TCP acknowledgement. */
    static final int OVERHEAD_BYTES = 80;

    private final long capacityBytes;
    private final double bytesPerNano;
    private double availableBytes;
    private long lastNanos;

    ByteBudget(long bytesPerSecond, long nowNanos) {
        this.capacityBytes = bytesPerSecond;
        this.bytesPerNano = (double) bytesPerSecond / TimeUnit.SECONDS.toNanos(1);
        this.availableBytes = bytesPerSecond;
        this.lastNanos = nowNanos;
    }

    /** Charges the bytes and returns true if the budget has them available. */
    boolean tryCharge(long bytes, long nowNanos) {
        refill(nowNanos);
        // A charge above the capacity could never be covered, so it succeeds when the budget is full.
        if (availableBytes < Math.min(bytes, capacityBytes)) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /**
     * Charges bytes that are sent in any case. The deficit is bounded, so that one large text does not delay load
     * batches for long.
     */
    void charge(long bytes, long nowNanos) {
        refill(nowNanos);
        availableBytes = Math.max(availableBytes - bytes, (double) -capacityBytes);
    }

    private void refill(long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - lastNanos);
        availableBytes = Math.min((double) capacityBytes, availableBytes + elapsedNanos * bytesPerNano);
        lastNanos = Math.max(lastNanos, nowNanos);
    }
}
