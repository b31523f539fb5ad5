package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A path pattern that starts with a slash and contains an asterisk only at its end.
 *
 * <p>An asterisk elsewhere would be compared literally and never match.
 */
public record PathPattern() implements ValueType<String> {
    private static final Pattern SYNTAX = Pattern.compile("/[^*?#\\s\\p{C}]*\\*?");

    @Override
    public Parsed<String> parse(String text) {
        return SYNTAX.matcher(text).matches() ? Parsed.success(text) : reject(text);
    }

    @Override
    public String allowed() {
        return "a path that starts with / and may end with *";
    }
}
