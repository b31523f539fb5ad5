package org.sardinepost.core.ini.values;

import java.util.Locale;
import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A host is a host name without a port.
 *
 * <p>Calls are matched without the port of the Host header, so a host with a port would never match.
 */
public record HostName() implements ValueType<String> {
    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,252}");

    @Override
    public Parsed<String> parse(String text) {
        return FORM.matcher(text).matches() ? Parsed.good(text.toLowerCase(Locale.ROOT)) : refuse(text);
    }

    @Override
    public String allowed() {
        return "a host name without a port";
    }
}
