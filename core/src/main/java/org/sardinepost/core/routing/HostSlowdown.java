package org.sardinepost.core.routing;

/**
 * How long work that begins now takes on the host of an upstream, relative to the usual time.
 *
 * <p>Neighbours on the same host slow an upstream for a tenth of a second or two, so a report is soon worth nothing. Not
 * thread-safe.
 */
final class HostSlowdown {
    /** Some three round trips in a region, and far below the time for which a neighbour keeps the host busy. */
    private static final long FRESH_NANOS = 10_000_000;

    /** For how long a neighbour usually keeps a host busy. */
    private static final long NEIGHBOUR_NANOS = 150_000_000;

    /** Noise in the reports stays below it. */
    private static final double SLOW_FACTOR = 1.5;

    /** Upstreams that did not answer so many questions in a row are not waited for. */
    private static final int UNANSWERED = 3;

    private double factor = 1;
    private long reportedNanos = Long.MIN_VALUE / 2;
    private int unanswered;

    void reported(double reportedFactor, long nowNanos) {
        factor = reportedFactor;
        reportedNanos = nowNanos;
        unanswered = 0;
    }

    /** The upstream was asked for its pace. */
    void asked() {
        unanswered++;
    }

    /** Whether the upstream tells its pace; others are taken to have the usual one. */
    boolean told() {
        return unanswered < UNANSWERED;
    }

    /** Whether the last report still holds. */
    boolean fresh(long nowNanos) {
        return nowNanos - reportedNanos <= FRESH_NANOS;
    }

    /** Whether the last report told of a neighbour that may still be there. */
    boolean recentlySlow(long nowNanos) {
        return factor >= SLOW_FACTOR && nowNanos - reportedNanos <= NEIGHBOUR_NANOS;
    }

    long reportedNanos() {
        return reportedNanos;
    }

    /** The factor of the last report. */
    double factor() {
        return factor;
    }
}
