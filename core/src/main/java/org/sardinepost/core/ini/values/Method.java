package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A method is written in upper case.
 *
 * <p>HTTP compares methods with regard to case, so get would never match.
 */
public record Method() implements ValueType<String> {
    private static final Pattern FORM = Pattern.compile("[A-Z]{1,20}");

    @Override
    public Parsed<String> parse(String text) {
        return FORM.matcher(text).matches() ? Parsed.good(text) : refuse(text);
    }

    @Override
    public String allowed() {
        return "an HTTP method in upper case";
    }
}
