package org.sardinepost.core.measuring;

/**
 * Grants measuring messages of one service so that all daemons together never exceed the fleet's budget.
 *
 * <p>Each daemon has a fixed share: the budget divided by the daemon ceiling, never by the number of live daemons, which is
 * known late. The share is granted as single messages with a fixed gap, so it needs no account: an unused share is lost and
 * nothing accumulates during a pause. A fresh daemon waits one whole gap before its first message, because its predecessor
 * may just have sent one.
 *
 * <p>The share is rounded down. With a budget of at least one message per daemon and second, no window of one second exceeds
 * the budget. With less, the gap is {@code ceiling / budget} seconds, rounded up to whole seconds, and no window of that
 * length exceeds the budget; without coordination between daemons no shorter window can be kept. Not thread-safe.
 */
public final class MeasuringBudget {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private long gapNanos;
    private long lastNanos;

    /**
     * A budget that begins now.
     *
     * @param messagesPerSecond messages per second over all daemons
     * @param daemonCeiling highest number of daemons that may live at the same time
     * @param nowNanos time of a monotonic clock
     */
    public MeasuringBudget(int messagesPerSecond, int daemonCeiling, long nowNanos) {
        this.lastNanos = nowNanos;
        change(messagesPerSecond, daemonCeiling);
    }

    /** Applies a changed services text. The gap after the last message follows the new share. */
    public void change(int messagesPerSecond, int daemonCeiling) {
        if (daemonCeiling < 1) {
            throw new IllegalArgumentException("daemon-ceiling " + daemonCeiling + " must be at least 1");
        }
        gapNanos = gapNanos(messagesPerSecond, daemonCeiling);
    }

    private static long gapNanos(int budget, int ceiling) {
        if (budget <= 0) {
            return Long.MAX_VALUE;
        }
        int wholePerSecond = budget / ceiling;
        if (wholePerSecond > 0) {
            return (SECOND_NANOS + wholePerSecond - 1) / wholePerSecond;
        }
        return (ceiling + budget - 1L) / budget * SECOND_NANOS;
    }

    /** Takes one message from the budget; false if the share is used up for now. */
    public boolean tryTake(long nowNanos) {
        if (waitNanos(nowNanos) > 0) {
            return false;
        }
        lastNanos = nowNanos;
        return true;
    }

    /** The time until the next message may be sent; 0 if it may be sent now. */
    public long waitNanos(long nowNanos) {
        long passed = Math.max(0, nowNanos - lastNanos);
        return Math.max(0, gapNanos - passed);
    }
}
