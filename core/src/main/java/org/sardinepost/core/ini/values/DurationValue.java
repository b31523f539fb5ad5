package org.sardinepost.core.ini.values;

import java.time.Duration;
import java.util.Map;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A duration with a unit, within a range.
 *
 * <p>The unit is required, because 2 could mean milliseconds or seconds.
 */
public record DurationValue(String min, String max) implements ValueType<Duration> {
    private static final Map<String, Long> MILLIS_PER_UNIT = Map.of("ms", 1L, "s", 1_000L, "m", 60_000L);

    @Override
    public Parsed<Duration> parse(String text) {
        return Units.parse(text, MILLIS_PER_UNIT)
                .filter(this::isInRange)
                .map(Duration::ofMillis)
                .map(Parsed::success)
                .orElseGet(() -> reject(text));
    }

    @Override
    public String allowed() {
        return "a duration in ms, s or m from " + min + " to " + max;
    }

    private boolean isInRange(long millis) {
        return millis >= parseBound(min) && millis <= parseBound(max);
    }

    private static long parseBound(String text) {
        return Units.parse(text, MILLIS_PER_UNIT).orElseThrow();
    }
}
