package org.sardinepost.core.ini.values;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads a whole number with a unit. */
final class Units {
    /** Nine digits times the largest unit do not overflow a long. */
    private static final Pattern FORM = Pattern.compile("([0-9]{1,9})([A-Za-z]+)");

    private Units() {}

    /** The number times the size of its unit; empty if the text has another form or unit. */
    static Optional<Long> parse(String text, Map<String, Long> sizes) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.ofNullable(sizes.get(matcher.group(2))).map(size -> size * Long.parseLong(matcher.group(1)));
    }
}
