package org.sardinepost.core.ini.values;

import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A flag is true or false.
 *
 * <p>Other words, such as yes, would be read as false and close a service to its callers.
 */
public record TrueOrFalse() implements ValueType<Boolean> {
    @Override
    public Parsed<Boolean> parse(String text) {
        boolean known = text.equals("true") || text.equals("false");
        return known ? Parsed.good(Boolean.valueOf(text)) : refuse(text);
    }

    @Override
    public String allowed() {
        return "true or false";
    }
}
