package org.sardinepost.core.routing;

import java.time.Duration;
import org.sardinepost.core.retry.AdaptiveTimeout;

/**
 * When load probes were sent to an upstream, and how long to wait for the response.
 *
 * <p>The load that this is for: failure domains that are several milliseconds apart. With a fixed timeout just below the
 * round trip, every response from the other failure domains is late, and calls start on hosts that are slowed down. Not
 * thread-safe.
 */
final class ProbeTiming {
    /** About two round trips within a region. */
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(8);

    /** A call would rather start at a host of unknown speed than wait longer. */
    private static final long MAX_TIMEOUT_NANOS = Duration.ofMillis(24).toNanos();

    /** Two round trips within most regions; a second probe before would provide no additional information. */
    private static final long MIN_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

    /** After this time a response does not come any more; it is longer than the timeout of the probe request. */
    private static final long LOST_NANOS = Duration.ofMillis(100).toNanos();

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final AdaptiveTimeout timeout = new AdaptiveTimeout(MIN_TIMEOUT);
    private long lastSentNanos = NEVER;
    /** When the oldest probe without a response was sent, since responses do not tell to which probe they belong. */
    private long oldestUnansweredNanos = NEVER;

    void sent(long nowNanos) {
        lastSentNanos = nowNanos;
        if (nowNanos - oldestUnansweredNanos > LOST_NANOS) {
            oldestUnansweredNanos = nowNanos;
        }
    }

    long lastSentNanos() {
        return lastSentNanos;
    }

    /** Records a response to a probe. */
    void responded(long nowNanos) {
        if (nowNanos - oldestUnansweredNanos <= LOST_NANOS) {
            timeout.recordResponse(nowNanos - oldestUnansweredNanos);
        }
        oldestUnansweredNanos = NEVER;
    }

    /** Returns whether the last probe was sent too short a time ago for another one. */
    boolean tooSoon(long nowNanos) {
        return nowNanos - lastSentNanos < MIN_INTERVAL_NANOS;
    }

    /**
     * Returns whether the last probe got no response in time.
     *
     * @param reportedNanos when the upstream last reported its load, in whatever response
     */
    boolean timedOut(long reportedNanos, long nowNanos) {
        return lastSentNanos - reportedNanos > 0 && nowNanos - lastSentNanos >= timeout.nanos(MAX_TIMEOUT_NANOS);
    }
}
