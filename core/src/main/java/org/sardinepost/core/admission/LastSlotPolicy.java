package org.sardinepost.core.admission;

import java.time.Duration;

/**
 * Decides whether the upstreams of a service have a higher throughput with their last slot in use than without.
 *
 * <p>Many upstreams slow down when they are nearly full. Under sustained load every call then starts in the last slot,
 * so that an upstream with three slots that takes 1.7 times as long completes fewer calls than with two. The slowdown
 * is measured on the calls themselves. Not thread-safe.
 */
public final class LastSlotPolicy {
    /** Adapts to a change within about 30 calls. */
    private static final double SMOOTHING = 0.06;

    private static final int MIN_SAMPLES = 8;

    /**
     * Until there are enough samples, last slots are used one at a time; otherwise a burst would fill all of them at
     * once.
     */
    private static final long LEARNING_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();

    /** Upstreams may be replaced by ones that do not slow down, so the last slot is tried again periodically. */
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final LogAverage lastSlotTimes = new LogAverage();
    private final LogAverage otherSlotTimes = new LogAverage();
    private long lastUseNanos = Long.MIN_VALUE / 2;

    /**
     * Records a call that got a response.
     *
     * @param lastSlot whether the call started in the last slot of its upstream
     * @param relativeTime its duration, relative to the typical duration for its kind
     */
    public void recordResponse(boolean lastSlot, double relativeTime) {
        (lastSlot ? lastSlotTimes : otherSlotTimes).add(Math.log(Math.max(1e-3, relativeTime)));
    }

    /** Returns whether calls may start in the last slot of upstreams with the given number of slots. */
    public boolean mayUse(int slots, long nowNanos) {
        if (lastSlotTimes.samples < MIN_SAMPLES || otherSlotTimes.samples < MIN_SAMPLES) {
            return nowNanos - lastUseNanos >= LEARNING_INTERVAL_NANOS;
        }
        double slowdown = Math.exp(lastSlotTimes.mean - otherSlotTimes.mean);
        return slowdown * (slots - 1) < slots || nowNanos - lastUseNanos >= TRIAL_INTERVAL_NANOS;
    }

    /** Records that a call started in a last slot. */
    public void recordUse(long nowNanos) {
        lastUseNanos = nowNanos;
    }

    private static final class LogAverage {
        private double mean;
        private int samples;

        void add(double value) {
            samples++;
            mean += Math.max(SMOOTHING, 1.0 / samples) * (value - mean);
        }
    }
}
