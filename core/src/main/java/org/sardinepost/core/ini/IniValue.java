package org.sardinepost.core.ini;

import java.util.Objects;

/** The text of a value; caches its last parse result, because both the rules and the reader parse it. */
final class IniValue {
    private final String text;
    private ValueType<?> cachedType;
    private Parsed<?> cachedResult;

    IniValue(String text) {
        this.text = Objects.requireNonNull(text);
    }

    String text() {
        return text;
    }

    @SuppressWarnings("unchecked") // the cached result was produced by an equal type
    <T> Parsed<T> parse(ValueType<T> type) {
        if (type != cachedType && !type.equals(cachedType)) {
            cachedType = type;
            cachedResult = type.parse(text);
        }
        return (Parsed<T>) cachedResult;
    }
}
