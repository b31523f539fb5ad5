package org.sardinepost.core.admission;

import java.time.Duration;

/**
 * Decides whether the upstreams of a service do more work with their last slot in use than without.
 *
 * <p>Many slow down when they are nearly full. Under lasting load every call then starts in the last slot, so that an
 * upstream with three slots that takes 1.7 times as long answers fewer calls than with two. Whether it does is learned from
 * the calls themselves. Not thread-safe.
 */
public final class LastSlotPolicy {
    /** Follows a change within some thirty calls. */
    private static final double SMOOTHING = 0.06;

    private static final int MIN_SAMPLES = 8;

    /** While nothing is known, calls are tried one after the other, or a burst would fill all last slots at once. */
    private static final long LEARN_NANOS = Duration.ofMillis(50).toNanos();

    /** Upstreams may be replaced by others that do not slow down, so a call is tried now and then. */
    private static final long TRY_NANOS = Duration.ofSeconds(1).toNanos();

    private final Average inLastSlot = new Average();
    private final Average inOthers = new Average();
    private long triedNanos = Long.MIN_VALUE / 2;

    /**
     * Records a call.
     *
     * @param lastSlot whether it started in the last slot of its upstream
     * @param relativeTime its time, relative to what is usual for its kind
     */
    public void answered(boolean lastSlot, double relativeTime) {
        (lastSlot ? inLastSlot : inOthers).add(Math.log(Math.max(1e-3, relativeTime)));
    }

    /** Whether calls may start in the last slot of upstreams with so many slots. */
    public boolean worthUsing(int slots, long nowNanos) {
        if (inLastSlot.samples < MIN_SAMPLES || inOthers.samples < MIN_SAMPLES) {
            return nowNanos - triedNanos >= LEARN_NANOS;
        }
        double slowdown = Math.exp(inLastSlot.mean - inOthers.mean);
        return slowdown * (slots - 1) < slots || nowNanos - triedNanos >= TRY_NANOS;
    }

    /** A call starts in a last slot. */
    public void used(long nowNanos) {
        triedNanos = nowNanos;
    }

    private static final class Average {
        private double mean;
        private int samples;

        void add(double value) {
            samples++;
            mean += Math.max(SMOOTHING, 1.0 / samples) * (value - mean);
        }
    }
}
