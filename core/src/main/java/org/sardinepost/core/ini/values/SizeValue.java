package org.sardinepost.core.ini.values;

import java.util.Map;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A size has a unit and is within its range.
 *
 * <p>Without a unit, 4 could mean bytes or MiB.
 */
public record SizeValue(String min, String max) implements ValueType<Long> {
    private static final Map<String, Long> UNIT_BYTES = Map.of("KiB", 1L << 10, "MiB", 1L << 20);

    @Override
    public Parsed<Long> parse(String text) {
        return Units.parse(text, UNIT_BYTES)
                .filter(this::inRange)
                .map(Parsed::good)
                .orElseGet(() -> refuse(text));
    }

    @Override
    public String allowed() {
        return "a size in KiB or MiB from " + min + " to " + max;
    }

    private boolean inRange(long bytes) {
        return bytes >= limit(min) && bytes <= limit(max);
    }

    private static long limit(String text) {
        return Units.parse(text, UNIT_BYTES).orElseThrow();
    }
}
