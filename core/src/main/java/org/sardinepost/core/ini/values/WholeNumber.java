package org.sardinepost.core.ini.values;

import java.util.Optional;
import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A number is whole and within its range.
 *
 * <p>The ranges exclude values that would overflow or switch a limit off by accident.
 */
public record WholeNumber(long min, long max) implements ValueType<Long> {
    /** At most 19 digits, of which the largest may still overflow. */
    private static final Pattern FORM = Pattern.compile("[0-9]{1,19}");

    @Override
    public Parsed<Long> parse(String text) {
        return number(text)
                .filter(value -> value >= min && value <= max)
                .map(Parsed::good)
                .orElseGet(() -> refuse(text));
    }

    @Override
    public String allowed() {
        return "a whole number from " + min + " to " + max;
    }

    /** The number; empty if the text is no number or does not fit. */
    static Optional<Long> number(String text) {
        if (!FORM.matcher(text).matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.valueOf(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
