package org.sardinepost.core.admission;

/** The rate at which calls of one service end on this daemon; it predicts how long a queue takes. Not thread-safe. */
public final class CompletionRate {
    private static final double SMOOTHING = 0.05;
    /** Ends that are further apart than this say nothing about the rate under load. */
    private static final long MAX_GAP_NANOS = 1_000_000_000L;

    private static final int MIN_SAMPLES = 20;

    private double gapNanos;
    private long lastEndNanos;
    private int samples;

    /** Records the end of a call. Gaps while nothing waits measure the callers, not the upstreams, and are skipped. */
    public void ended(long nowNanos, boolean othersWait) {
        long gap = nowNanos - lastEndNanos;
        lastEndNanos = nowNanos;
        if (!othersWait || gap < 0 || gap > MAX_GAP_NANOS) {
            return;
        }
        gapNanos = samples == 0 ? gap : gapNanos + SMOOTHING * (gap - gapNanos);
        samples++;
    }

    /** The expected wait behind that many calls; 0 while too little is known. */
    public long waitNanos(int callsAhead) {
        return samples < MIN_SAMPLES ? 0 : (long) (gapNanos * callsAhead);
    }
}
