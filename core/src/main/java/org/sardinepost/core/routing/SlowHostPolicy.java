package org.sardinepost.core.routing;

import java.time.Duration;

/**
 * Decides whether to start a call now on a host slowed by a noisy neighbor or to wait until a host runs at normal
 * speed.
 *
 * <p>An upstream processes a call at the speed that its host has when the call starts. If a noisy neighbor makes
 * processing take five times as long, a call that waits for the slowdown to end gets its response earlier and occupies
 * its slot for a fifth of the time.
 */
final class SlowHostPolicy {
    /** Half of the typical duration of a slowdown by a noisy neighbor. */
    private static final long EXPECTED_SLOWDOWN_WAIT_NANOS =
            Duration.ofMillis(60).toNanos();

    /** A call whose typical service time is unknown is not started on a host with a larger slowdown factor. */
    private static final double MAX_FACTOR_WITHOUT_ESTIMATE = 1.5;

    private SlowHostPolicy() {}

    /** Returns whether to start the call now. */
    static boolean shouldStartNow(double factor, long typicalNanos) {
        if (typicalNanos <= 0) {
            return factor <= MAX_FACTOR_WITHOUT_ESTIMATE;
        }
        return (factor - 1) * typicalNanos <= EXPECTED_SLOWDOWN_WAIT_NANOS;
    }
}
