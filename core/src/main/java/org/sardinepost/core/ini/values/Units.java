package org.sardinepost.core.ini.values;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses whole numbers with a unit. */
final class Units {
    /** At most nine digits, so that multiplication by the largest unit does not overflow a long. */
    private static final Pattern SYNTAX = Pattern.compile("([0-9]{1,9})([A-Za-z]+)");

    private Units() {}

    /** Returns the number multiplied by the size of its unit; empty if the syntax or the unit is invalid. */
    static Optional<Long> parse(String text, Map<String, Long> unitSizes) {
        Matcher matcher = SYNTAX.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.ofNullable(unitSizes.get(matcher.group(2)))
                .map(size -> size * Long.parseLong(matcher.group(1)));
    }
}
