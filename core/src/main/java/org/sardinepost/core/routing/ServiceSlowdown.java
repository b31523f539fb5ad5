package org.sardinepost.core.routing;

import java.time.Duration;

/**
 * Detects that the hosts of a whole service are slowed down for longer than noisy neighbors do it.
 *
 * <p>Calls wait for a slowdown by a noisy neighbor to end. If every report shows a slowdown for much longer, waiting is of
 * no use: every call would be refused, although a late response is better. Not thread-safe.
 */
final class ServiceSlowdown {
    /** Several times the typical duration of a slowdown by a noisy neighbor. */
    private static final long PERSISTENT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Reports that are further apart do not show what happened between them. */
    private static final long MAX_REPORT_GAP_NANOS = Duration.ofMillis(500).toNanos();

    private boolean slow;
    private long slowSinceNanos;
    private long lastSlowNanos;

    /** Records a report of any upstream of the service. */
    void recordReport(boolean slowedDown, long nowNanos) {
        if (!slowedDown) {
            slow = false;
            return;
        }
        if (!slow || nowNanos - lastSlowNanos > MAX_REPORT_GAP_NANOS) {
            slowSinceNanos = nowNanos;
        }
        slow = true;
        lastSlowNanos = nowNanos;
    }

    /** Returns whether every report since a second ago or longer has shown a slowdown. */
    boolean persists() {
        return slow && lastSlowNanos - slowSinceNanos >= PERSISTENT_NANOS;
    }
}
