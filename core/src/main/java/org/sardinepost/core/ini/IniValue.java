package org.sardinepost.core.ini;

import java.util.Objects;

/** The text of a value; keeps the result of its type, because the rules and the reader ask for it in turn. */
final class IniValue {
    private final String text;
    private ValueType<?> parsedType;
    private Parsed<?> parsed;

    IniValue(String text) {
        this.text = Objects.requireNonNull(text);
    }

    String text() {
        return text;
    }

    @SuppressWarnings("unchecked") // the result that is kept comes from an equal type
    <T> Parsed<T> parse(ValueType<T> type) {
        if (!type.equals(parsedType)) {
            parsedType = type;
            parsed = type.parse(text);
        }
        return (Parsed<T>) parsed;
    }
}
