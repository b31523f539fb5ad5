package org.sardinepost.core.admission;

import java.time.Duration;

/**
 * Tells refused callers when to come back, one after the other.
 *
 * <p>If all of them came back at the same moment, most would be refused again. Each gets a turn of its own, at a pace that
 * leaves half of the service's places to new calls. Not thread-safe.
 */
public final class RetryAfterSchedule {
    /** Places that are kept for new calls, for each one that is promised to a returning call. */
    private static final double NEW_CALLS_PER_RETURN = 1;

    /** Callers that were told to wait longer would have given up. */
    private static final long HORIZON_NANOS = Duration.ofMillis(800).toNanos();

    /** Shorter waits would bring the caller back before any call has ended. */
    private static final long SHORTEST_NANOS = Duration.ofMillis(20).toNanos();

    private long lastTurnNanos = Long.MIN_VALUE;

    /**
     * The wait of the next refused caller.
     *
     * @param waitNanos the expected wait for a place
     * @param gapNanos the usual time between two calls that end
     */
    public Duration next(long waitNanos, long gapNanos, long nowNanos) {
        long earliest = nowNanos + Math.max(SHORTEST_NANOS, waitNanos);
        long turn = lastTurnNanos == Long.MIN_VALUE
                ? earliest
                : Math.max(earliest, lastTurnNanos + (long) ((1 + NEW_CALLS_PER_RETURN) * gapNanos));
        if (turn - nowNanos > HORIZON_NANOS) {
            // Turns beyond the horizon begin anew, or every later caller would be told the horizon.
            turn = earliest;
        }
        lastTurnNanos = turn;
        return Duration.ofNanos(turn - nowNanos);
    }
}
