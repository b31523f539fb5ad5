package org.sardinepost.core.measuring;

/**
 * Limits the measurement messages of one service so that all daemons together never exceed the fleet's budget.
 *
 * <p>Each daemon has a fixed share: the budget divided by the maximum number of daemons, not by the number of live
 * daemons, which each daemon learns with a delay. Single messages are granted at a fixed interval, so there is no
 * balance: an unused share is lost and does not accumulate during a pause. A new daemon waits one full interval before
 * its first message because its predecessor may just have sent one.
 *
 * <p>The share is rounded down. With a budget of at least one message per daemon and second, no window of one second
 * exceeds the budget. With a smaller one, the interval is {@code daemonCeiling / messagesPerSecond} seconds, rounded up
 * to whole seconds, and no window of that length exceeds the budget; no shorter window can be guaranteed without
 * coordination between daemons. Not thread-safe.
 */
public final class MeasuringBudget {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private long intervalNanos;
    private long lastMessageNanos;

    /**
     * Creates a budget that starts now.
     *
     * @param messagesPerSecond messages per second over all daemons
     * @param daemonCeiling maximum number of daemons that may be live at the same time
     * @param nowNanos time of a monotonic clock
     */
    public MeasuringBudget(int messagesPerSecond, int daemonCeiling, long nowNanos) {
        this.lastMessageNanos = nowNanos;
        reconfigure(messagesPerSecond, daemonCeiling);
    }

    /** Applies a changed configuration. The next message follows the last one after the new interval. */
    public void reconfigure(int messagesPerSecond, int daemonCeiling) {
        if (daemonCeiling < 1) {
            throw new IllegalArgumentException("daemon-ceiling " + daemonCeiling + " must be at least 1");
        }
        intervalNanos = intervalNanos(messagesPerSecond, daemonCeiling);
    }

    private static long intervalNanos(int messagesPerSecond, int daemonCeiling) {
        if (messagesPerSecond <= 0) {
            return Long.MAX_VALUE;
        }
        int messagesPerDaemonSecond = messagesPerSecond / daemonCeiling;
        if (messagesPerDaemonSecond > 0) {
            return (SECOND_NANOS + messagesPerDaemonSecond - 1) / messagesPerDaemonSecond;
        }
        return (daemonCeiling + messagesPerSecond - 1L) / messagesPerSecond * SECOND_NANOS;
    }

    /** Takes one message from the budget; returns false if none may be sent yet. */
    public boolean tryTake(long nowNanos) {
        if (waitNanos(nowNanos) > 0) {
            return false;
        }
        lastMessageNanos = nowNanos;
        return true;
    }

    /** Returns the time until the next message may be sent; 0 if it may be sent now. */
    public long waitNanos(long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - lastMessageNanos);
        return Math.max(0, intervalNanos - elapsedNanos);
    }
}
