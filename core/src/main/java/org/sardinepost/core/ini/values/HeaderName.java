package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A header name of letters, digits and hyphens.
 *
 * <p>HTTP allows more characters, but a name that contains one of them is usually a typing error.
 */
public record HeaderName() implements ValueType<String> {
    private static final Pattern SYNTAX = Pattern.compile("[A-Za-z][A-Za-z0-9-]{0,63}");

    @Override
    public Parsed<String> parse(String text) {
        return SYNTAX.matcher(text).matches() ? Parsed.success(text) : reject(text);
    }

    @Override
    public String allowed() {
        return "the name of a header, such as Request-Id";
    }
}
