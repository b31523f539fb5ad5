package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * An HTTP method in upper case.
 *
 * <p>HTTP methods are case-sensitive, so get would never match.
 */
public record Method() implements ValueType<String> {
    private static final Pattern SYNTAX = Pattern.compile("[A-Z]{1,20}");

    @Override
    public Parsed<String> parse(String text) {
        return SYNTAX.matcher(text).matches() ? Parsed.success(text) : reject(text);
    }

    @Override
    public String allowed() {
        return "an HTTP method in upper case";
    }
}
