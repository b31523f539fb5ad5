package org.sardinepost.daemon.control;

import java.util.concurrent.TimeUnit;

/**
 * Limits the bytes that control work sends.
 *
 * <p>Configuration and marks are always sent and only charged; loads are sent when the budget allows, so that their
 * interval stretches with the number of daemons. Owned by the control thread.
 */
final class ByteBudget {
    /** The limit of control traffic per node. */
    static final long LIMIT_BYTES_PER_SECOND = 29_000;

    /** Ethernet, IP and TCP headers of one small message, and its acknowledgement shared with others. */
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

    /** Charges the bytes if they are available. */
    boolean tryCharge(long bytes, long nowNanos) {
        refill(nowNanos);
        // A charge above the capacity would never pass; it passes when the budget is full.
        if (availableBytes < Math.min(bytes, capacityBytes)) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /** Charges bytes that are sent in any case. The debt is limited, so that one large text does not stop loads for long. */
    void charge(long bytes, long nowNanos) {
        refill(nowNanos);
        availableBytes = Math.max(availableBytes - bytes, (double) -capacityBytes);
    }

    private void refill(long nowNanos) {
        long elapsed = Math.max(0, nowNanos - lastNanos);
        availableBytes = Math.min((double) capacityBytes, availableBytes + elapsed * bytesPerNano);
        lastNanos = Math.max(lastNanos, nowNanos);
    }
}
