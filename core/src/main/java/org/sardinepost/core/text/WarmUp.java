package org.sardinepost.core.text;

import java.time.Duration;
import java.util.Objects;

/**
 * How the upstreams of a service behave after their start.
 *
 * @param duration how long an upstream is cold
 * @param callsPerSecond the calls per second that a cold upstream accepts
 */
public record WarmUp(Duration duration, double callsPerSecond) {
    public WarmUp {
        Objects.requireNonNull(duration);
    }
}
