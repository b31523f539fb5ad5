package org.sardinepost.core.routing;

/**
 * Limits the rate of probes to one service by its measuring budget, and the rate of probes to one upstream. Not
 * thread-safe.
 *
 * <p>One daemon probes on behalf of the whole fleet. It uses half of the budget, so that the budget is also kept while
 * two daemons each consider the other unavailable and both send probes.
 */
final class ProbeRateLimiter {
    private static final long SECOND_NANOS = 1_000_000_000L;

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
        if (sentInWindow >= maxPerSecond || state.probeTiming.tooSoon(nowNanos)) {
            return false;
        }
        sentInWindow++;
        state.probeTiming.sent(nowNanos);
        state.hostSlowdown.probeSent();
        return true;
    }
}
