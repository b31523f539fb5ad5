package org.sardinepost.core.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates how long a caller has waited before this attempt, from the time that it still allows.
 *
 * <p>Callers of one route usually start with the same time, and one that was refused comes back with what is left of it. Its
 * target counts from its first attempt, so that a call that is late already does not take the place of one that can still be
 * answered within its target. A caller that simply allows less time than others is taken for one that has waited; it is then
 * served after them. Thread-safe.
 */
public final class PriorWait {
    /** Configurations replace routes all the time; the kinds that were not seen for longest are forgotten. */
    private static final int MAX_KINDS = 1_000;

    /** The first time that callers allow is learned anew after this time, since their programs change. */
    private static final long PERIOD_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<String, Longest> byKind = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Longest> eldest) {
            return size() > MAX_KINDS;
        }
    };

    /**
     * The time that the caller has waited, in nanoseconds; 0 for one that allows the longest time of its kind.
     *
     * @param kind what calls with the same usual time have in common, such as their route
     * @param leftNanos the time that the caller still allows
     */
    public synchronized long nanos(String kind, long leftNanos, long nowNanos) {
        return byKind.computeIfAbsent(kind, added -> new Longest(nowNanos)).observe(leftNanos, nowNanos) - leftNanos;
    }

    /** The longest time in this period and the one before. */
    private static final class Longest {
        private long startedNanos;
        private long nanos;
        private long nanosBefore;

        Longest(long nowNanos) {
            startedNanos = nowNanos;
        }

        long observe(long leftNanos, long nowNanos) {
            if (nowNanos - startedNanos >= PERIOD_NANOS) {
                nanosBefore = nanos;
                nanos = 0;
                startedNanos = nowNanos;
            }
            nanos = Math.max(nanos, leftNanos);
            return Math.max(nanos, nanosBefore);
        }
    }
}
