package org.sardinepost.core.routing;

import java.time.Duration;

/**
 * Keeps the probes of one service within its measuring budget, and those of one upstream apart. Not thread-safe.
 *
 * <p>One daemon probes for the whole fleet. It uses half of the budget, so that the budget holds also while two daemons take
 * each other for silent and both probe.
 */
final class ProbeRateLimiter {
    /** Two round trips in a region; a probe that is under way tells the next call as much as one of its own. */
    private static final long SHORTEST_GAP_NANOS = Duration.ofMillis(5).toNanos();

    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private int perSecond;
    private long windowStartNanos;
    private int sent;

    /** Sets the budget of the service, in messages per second over all daemons. */
    void budget(int messagesPerSecond) {
        perSecond = messagesPerSecond / 2;
    }

    /** Whether to ask the upstream now; a positive answer counts as asked. */
    boolean tryAsk(UpstreamState state, long nowNanos) {
        if (nowNanos - windowStartNanos >= SECOND_NANOS) {
            windowStartNanos = nowNanos;
            sent = 0;
        }
        if (sent >= perSecond || nowNanos - state.askedNanos < SHORTEST_GAP_NANOS) {
            return false;
        }
        sent++;
        state.askedNanos = nowNanos;
        state.pace.asked();
        return true;
    }
}
