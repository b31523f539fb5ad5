package org.sardinepost.core.admission;

/**
 * The rate at which calls of one service complete on this daemon, used to predict the wait in the queue. Not
 * thread-safe.
 */
public final class CompletionRate {
    private static final double SMOOTHING = 0.05;
    /** Longer intervals between completions do not reflect the rate under load. */
    private static final long MAX_INTERVAL_NANOS = 1_000_000_000L;

    private static final int MIN_SAMPLES = 20;

    private double intervalNanos;
    private long lastEndNanos;
    private int samples;

    /**
     * Records the completion of a call. Intervals while no call is queued reflect the callers, not the upstreams, and
     * are ignored.
     */
    public void recordCompletion(long nowNanos, boolean callsQueued) {
        long interval = nowNanos - lastEndNanos;
        lastEndNanos = nowNanos;
        if (!callsQueued || interval < 0 || interval > MAX_INTERVAL_NANOS) {
            return;
        }
        intervalNanos = samples == 0 ? interval : intervalNanos + SMOOTHING * (interval - intervalNanos);
        samples++;
    }

    /** Returns the expected wait behind the given number of calls; 0 until there are enough samples. */
    public long waitNanos(int callsAhead) {
        return samples < MIN_SAMPLES ? 0 : (long) (intervalNanos * callsAhead);
    }
}
