package org.sardinepost.core.ini.values;

import java.util.Locale;
import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A host name without a port.
 *
 * <p>Calls are matched by their Host header without its port, so a host with a port would never match.
 */
public record HostName() implements ValueType<String> {
    private static final Pattern SYNTAX = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,252}");

    @Override
    public Parsed<String> parse(String text) {
        return SYNTAX.matcher(text).matches() ? Parsed.success(text.toLowerCase(Locale.ROOT)) : reject(text);
    }

    @Override
    public String allowed() {
        return "a host name without a port";
    }
}
