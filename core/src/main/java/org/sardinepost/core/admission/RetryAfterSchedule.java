package org.sardinepost.core.admission;

import java.time.Duration;

/**
 * Assigns retry delays to refused callers so that their retries are spread out.
 *
 * <p>If all refused callers retried at the same time, most would be refused again. Each gets a separate retry time, at
 * a rate that leaves half of the service's capacity to new calls. Not thread-safe.
 */
public final class RetryAfterSchedule {
    /** Calls' worth of capacity reserved for new calls per scheduled retry. */
    private static final double NEW_CALLS_PER_RETRY = 1;

    /** A caller that waited longer would rarely get a response within its target. */
    private static final long MAX_DELAY_NANOS = Duration.ofMillis(800).toNanos();

    /** With a shorter delay the retry would arrive before any call has completed. */
    private static final long MIN_DELAY_NANOS = Duration.ofMillis(20).toNanos();

    private long lastRetryNanos = Long.MIN_VALUE;

    /**
     * Returns the delay after which the next refused caller should retry.
     *
     * @param waitNanos the expected wait for capacity
     * @param completionIntervalNanos the typical time between two completions
     * @param maxDelayNanos the longest delay that is of use to the caller
     */
    public Duration nextDelay(long waitNanos, long completionIntervalNanos, long maxDelayNanos, long nowNanos) {
        long maxDelay = Math.max(MIN_DELAY_NANOS, Math.min(MAX_DELAY_NANOS, maxDelayNanos));
        long earliestRetry = nowNanos + Math.min(maxDelay, Math.max(MIN_DELAY_NANOS, waitNanos));
        long retryTime = lastRetryNanos == Long.MIN_VALUE
                ? earliestRetry
                : Math.max(
                        earliestRetry, lastRetryNanos + (long) ((1 + NEW_CALLS_PER_RETRY) * completionIntervalNanos));
        if (retryTime - nowNanos > maxDelay) {
            // Restarts the schedule, in the second half of the delays if the wait exceeds them all; otherwise all later
            // callers would get the maximum delay.
            retryTime = waitNanos < maxDelay ? earliestRetry : nowNanos + Math.max(MIN_DELAY_NANOS, maxDelay / 2);
        }
        lastRetryNanos = retryTime;
        return Duration.ofNanos(retryTime - nowNanos);
    }
}
