package org.sardinepost.core.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates how long a caller has waited before this attempt, based on its remaining time.
 *
 * <p>Callers of one route usually start with the same deadline, and a caller that retries after a refusal has only the
 * rest of it left. The latency target counts from the first attempt, so that a call that is already late does not delay
 * one that can still meet its target. A caller that uses a shorter deadline than others is treated as one that has
 * waited and is served after them. Thread-safe.
 */
public final class PriorWaitEstimator {
    /** Configuration changes keep replacing routes; the least recently used kinds are evicted. */
    private static final int MAX_KINDS = 1_000;

    /** The initial deadline of callers is measured again after this time because callers change. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<String, WindowedMax> byKind = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, WindowedMax> eldest) {
            return size() > MAX_KINDS;
        }
    };

    /**
     * Returns the time that the caller has waited, in nanoseconds; 0 for a caller with the longest remaining time of
     * its kind.
     *
     * @param kind identifies calls with similar service times, for example by their route
     * @param remainingNanos the time until the caller's deadline
     */
    public synchronized long estimateNanos(String kind, long remainingNanos, long nowNanos) {
        return byKind.computeIfAbsent(kind, key -> new WindowedMax(nowNanos)).observe(remainingNanos, nowNanos)
                - remainingNanos;
    }

    /** The maximum over the current and the previous window. */
    private static final class WindowedMax {
        private long windowStartNanos;
        private long maxNanos;
        private long previousMaxNanos;

        WindowedMax(long nowNanos) {
            windowStartNanos = nowNanos;
        }

        long observe(long remainingNanos, long nowNanos) {
            if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
                previousMaxNanos = maxNanos;
                maxNanos = 0;
                windowStartNanos = nowNanos;
            }
            maxNanos = Math.max(maxNanos, remainingNanos);
            return Math.max(maxNanos, previousMaxNanos);
        }
    }
}
