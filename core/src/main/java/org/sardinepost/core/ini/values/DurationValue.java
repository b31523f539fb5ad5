package org.sardinepost.core.ini.values;

import java.time.Duration;
import java.util.Map;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A duration has a unit and is within its range.
 *
 * <p>Without a unit, 2 could mean milliseconds or seconds.
 */
public record DurationValue(String min, String max) implements ValueType<Duration> {
    private static final Map<String, Long> UNIT_MILLIS = Map.of("ms", 1L, "s", 1_000L, "m", 60_000L);

    @Override
    public Parsed<Duration> parse(String text) {
        return Units.parse(text, UNIT_MILLIS)
                .filter(this::inRange)
                .map(Duration::ofMillis)
                .map(Parsed::good)
                .orElseGet(() -> refuse(text));
    }

    @Override
    public String allowed() {
        return "a duration in ms, s or m from " + min + " to " + max;
    }

    private boolean inRange(long millis) {
        return millis >= limit(min) && millis <= limit(max);
    }

    private static long limit(String text) {
        return Units.parse(text, UNIT_MILLIS).orElseThrow();
    }
}
