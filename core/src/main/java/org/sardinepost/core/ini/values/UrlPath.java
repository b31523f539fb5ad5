package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A URL path that starts with a slash and has no query.
 *
 * <p>Spaces are not allowed, because the path is sent as it is written and a space would break the request line.
 */
public record UrlPath() implements ValueType<String> {
    private static final Pattern SYNTAX = Pattern.compile("/[^?#\\s\\p{C}]*");

    @Override
    public Parsed<String> parse(String text) {
        return SYNTAX.matcher(text).matches() ? Parsed.success(text) : reject(text);
    }

    @Override
    public String allowed() {
        return "a path that starts with / and has no query";
    }
}
