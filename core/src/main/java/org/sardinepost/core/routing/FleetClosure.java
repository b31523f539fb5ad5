package org.sardinepost.core.routing;

import java.time.Duration;

/**
 * Decides whether an upstream that turned several daemons away is closed to all daemons.
 *
 * <p>A daemon that was turned away sends nothing for the time that it was told. If a second one is turned away although
 * the upstream answered nobody in between, a third one would most likely only lose time there. All daemons then stay
 * away for at most a second, after which one of those that were not turned away tries again. Not thread-safe.
 */
final class FleetClosure {
    private static final Duration MAX_CLOSURE = Duration.ofSeconds(1);

    private String lastTurnedAway = "";
    private long untilNanos = Long.MIN_VALUE / 2;

    boolean active(long nowNanos) {
        return untilNanos - nowNanos > 0;
    }

    void turnedAway(String daemon, Duration retryAfter, long nowNanos) {
        if (!lastTurnedAway.isEmpty() && !lastTurnedAway.equals(daemon)) {
            Duration closure = retryAfter.compareTo(MAX_CLOSURE) < 0 ? retryAfter : MAX_CLOSURE;
            untilNanos = nowNanos + closure.toNanos();
        }
        lastTurnedAway = daemon;
    }

    void answered() {
        lastTurnedAway = "";
        untilNanos = Long.MIN_VALUE / 2;
    }
}
