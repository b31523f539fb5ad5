package org.sardinepost.core.routing;

import java.time.Duration;

/**
 * Limits the rate of probes to one service by its measuring budget, and the rate of probes to one upstream. Not
 * thread-safe.
 *
 * <p>One daemon probes on behalf of the whole fleet. It uses half of the budget, so that the budget is also kept while
 * two daemons each consider the other unavailable and both send probes.
 */
final class ProbeRateLimiter {
    /**
     * Two round trips within a region; while a probe is in flight, a second one would provide no additional
     * information.
     */
    private static final long MIN_PROBE_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private int maxPerSecond;
    private long windowStartNanos;
    private int sentInWindow;

    /** Sets the budget of the service, in messages per second over all daemons. */
    void setBudget(int messagesPerSecond) {
        maxPerSecond = messagesPerSecond / 2;
    }

    /** Returns whether a probe may be sent to the upstream now. If so, the probe counts as sent. */
    boolean tryAcquire(UpstreamState state, long nowNanos) {
        if (nowNanos - windowStartNanos >= SECOND_NANOS) {
            windowStartNanos = nowNanos;
            sentInWindow = 0;
        }
        if (sentInWindow >= maxPerSecond || nowNanos - state.lastProbeNanos < MIN_PROBE_INTERVAL_NANOS) {
            return false;
        }
        sentInWindow++;
        state.lastProbeNanos = nowNanos;
        state.hostSlowdown.probeSent();
        return true;
    }
}
