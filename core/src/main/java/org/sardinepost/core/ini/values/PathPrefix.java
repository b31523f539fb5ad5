package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A path prefix that begins and ends with a slash.
 *
 * <p>The final slash is required, because {@code /order} would also match calls to {@code /orders}.
 */
public record PathPrefix() implements ValueType<String> {
    private static final Pattern SYNTAX = Pattern.compile("/([^*?#\\s\\p{C}]*/)?");

    @Override
    public Parsed<String> parse(String text) {
        return SYNTAX.matcher(text).matches() ? Parsed.success(text) : reject(text);
    }

    @Override
    public String allowed() {
        return "a path that begins and ends with /";
    }
}
