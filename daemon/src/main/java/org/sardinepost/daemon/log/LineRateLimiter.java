package org.sardinepost.daemon.log;

/**
 * Limits the call log lines per second and counts the dropped ones. Thread-safe.
 *
 * <p>Under load, logging every call would take more CPU time than the calls themselves.
 */
public final class LineRateLimiter {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final int linesPerSecond;
    private long currentSecond = Long.MIN_VALUE;
    private int linesInSecond;
    private long dropped;

    public LineRateLimiter(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    /** Returns whether a line may be written now; otherwise counts it as dropped. */
    public synchronized boolean tryAcquire(long nowNanos) {
        long second = Math.floorDiv(nowNanos, SECOND_NANOS);
        if (second != currentSecond) {
            currentSecond = second;
            linesInSecond = 0;
        }
        if (linesInSecond >= linesPerSecond) {
            dropped++;
            return false;
        }
        linesInSecond++;
        return true;
    }

    /** Returns the number of lines dropped since the last call of this method. */
    public synchronized long takeDroppedCount() {
        long count = dropped;
        dropped = 0;
        return count;
    }
}
