package org.sardinepost.core.ini.values;

import java.util.Map;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A size with a unit, within a range.
 *
 * <p>The unit is required, because 4 could mean bytes or MiB.
 */
public record SizeValue(String min, String max) implements ValueType<Long> {
    private static final Map<String, Long> BYTES_PER_UNIT = Map.of("KiB", 1L << 10, "MiB", 1L << 20);

    @Override
    public Parsed<Long> parse(String text) {
        return Units.parse(text, BYTES_PER_UNIT)
                .filter(this::isInRange)
                .map(Parsed::success)
                .orElseGet(() -> reject(text));
    }

    @Override
    public String allowed() {
        return "a size in KiB or MiB from " + min + " to " + max;
    }

    private boolean isInRange(long bytes) {
        return bytes >= parseBound(min) && bytes <= parseBound(max);
    }

    private static long parseBound(String text) {
        return Units.parse(text, BYTES_PER_UNIT).orElseThrow();
    }
}
