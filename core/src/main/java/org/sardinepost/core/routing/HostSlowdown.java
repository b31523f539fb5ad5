package org.sardinepost.core.routing;

/**
 * The slowdown factor of an upstream's host: the service time of a call started now, relative to the normal service
 * time.
 *
 * <p>Noisy neighbors slow a host down for 100 to 200 ms at a time, so a report is outdated quickly. Not thread-safe.
 */
final class HostSlowdown {
    /** About three round trips within a region, and far shorter than a typical slowdown by a noisy neighbor. */
    private static final long MAX_FRESH_AGE_NANOS = 10_000_000;

    /** Typical duration of a slowdown by a noisy neighbor. */
    private static final long NOISY_NEIGHBOR_NANOS = 150_000_000;

    /** Noise in the reported factors stays below this value. */
    private static final double SLOW_FACTOR = 1.5;

    /**
     * After this many consecutive probes without a response, calls no longer wait for the upstream to report its
     * slowdown.
     */
    private static final int MAX_PROBES_WITHOUT_RESPONSE = 3;

    private double factor = 1;
    private long reportedNanos = Long.MIN_VALUE / 2;
    private int probesWithoutResponse;

    void recordReport(double reportedFactor, long nowNanos) {
        factor = reportedFactor;
        reportedNanos = nowNanos;
        probesWithoutResponse = 0;
    }

    /** Records that a probe was sent to the upstream. */
    void probeSent() {
        probesWithoutResponse++;
    }

    /** Returns whether the upstream reports its slowdown; upstreams that do not are assumed to run at normal speed. */
    boolean reportsSlowdown() {
        return probesWithoutResponse < MAX_PROBES_WITHOUT_RESPONSE;
    }

    /** Returns whether the last report is still valid. */
    boolean fresh(long nowNanos) {
        return nowNanos - reportedNanos <= MAX_FRESH_AGE_NANOS;
    }

    /** Returns whether the last report showed a slowdown. */
    boolean slow() {
        return factor >= SLOW_FACTOR;
    }

    /** Returns whether the last report showed a slowdown that may still persist. */
    boolean recentlySlow(long nowNanos) {
        return slow() && nowNanos - reportedNanos <= NOISY_NEIGHBOR_NANOS;
    }

    long reportedNanos() {
        return reportedNanos;
    }

    /** Returns the slowdown factor of the last report. */
    double factor() {
        return factor;
    }
}
