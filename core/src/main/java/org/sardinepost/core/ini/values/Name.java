package org.sardinepost.core.ini.values;

import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A name has only characters that need no quoting in headers, metrics and lists.
 *
 * <p>The name of a service is also a value of the Host header, and is compared without regard to case; therefore names are
 * lower case.
 */
public record Name() implements ValueType<String> {
    private static final Pattern FORM = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    @Override
    public Parsed<String> parse(String text) {
        return FORM.matcher(text).matches() ? Parsed.good(text) : refuse(text);
    }

    @Override
    public String allowed() {
        return "a name of at most 63 lower-case letters, digits, hyphens, dots and underscores";
    }
}
