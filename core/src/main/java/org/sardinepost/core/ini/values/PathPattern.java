package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A path pattern starts with a slash and has a star only at its end.
 *
 * <p>A star elsewhere would be compared as a character and never match.
 */
public record PathPattern() implements ValueType<String> {
    private static final Pattern FORM = Pattern.compile("/[^*?#\\s\\p{C}]*\\*?");

    @Override
    public Parsed<String> parse(String text) {
        return FORM.matcher(text).matches() ? Parsed.good(text) : refuse(text);
    }

    @Override
    public String allowed() {
        return "a path that starts with / and may end with *";
    }
}
