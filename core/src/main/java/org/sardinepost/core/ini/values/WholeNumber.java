package org.sardinepost.core.ini.values;

import java.util.Optional;
import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A whole number within a range.
 *
 * <p>The range excludes values that would overflow or accidentally disable a limit.
 */
public record WholeNumber(long min, long max) implements ValueType<Long> {
    /** At most 19 digits, the length of the largest long; some numbers of this length still overflow. */
    private static final Pattern SYNTAX = Pattern.compile("[0-9]{1,19}");

    @Override
    public Parsed<Long> parse(String text) {
        return parseLong(text)
                .filter(value -> value >= min && value <= max)
                .map(Parsed::success)
                .orElseGet(() -> reject(text));
    }

    @Override
    public String allowed() {
        return "a whole number from " + min + " to " + max;
    }

    /** Parses a decimal number; empty if the text is not one or the number overflows a long. */
    static Optional<Long> parseLong(String text) {
        if (!SYNTAX.matcher(text).matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.valueOf(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
