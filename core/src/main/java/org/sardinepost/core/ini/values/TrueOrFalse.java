package org.sardinepost.core.ini.values;

import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A flag that is true or false.
 *
 * <p>Other words, such as yes, are errors, because {@link Boolean#valueOf} reads them as false, which would close a
 * service to its callers.
 */
public record TrueOrFalse() implements ValueType<Boolean> {
    @Override
    public Parsed<Boolean> parse(String text) {
        boolean valid = text.equals("true") || text.equals("false");
        return valid ? Parsed.success(Boolean.valueOf(text)) : reject(text);
    }

    @Override
    public String allowed() {
        return "true or false";
    }
}
