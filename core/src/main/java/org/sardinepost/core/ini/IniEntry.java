package org.sardinepost.core.ini;

import java.util.Objects;

/** One {@code key = value} line. */
public final class IniEntry {
    private final String key;
    private final String value;
    private final int line;
    private ValueType<?> parsedType;
    private Parsed<?> parsed;

    public IniEntry(String key, String value, int line) {
        this.key = Objects.requireNonNull(key);
        this.value = Objects.requireNonNull(value);
        this.line = line;
    }

    public String key() {
        return key;
    }

    public String value() {
        return value;
    }

    public int line() {
        return line;
    }

    /** The value as read by the type; kept, because the rules and the reader ask for it in turn. */
    @SuppressWarnings("unchecked") // the result that is kept comes from an equal type
    public <T> Parsed<T> parse(ValueType<T> type) {
        if (!type.equals(parsedType)) {
            parsedType = type;
            parsed = type.parse(value);
        }
        return (Parsed<T>) parsed;
    }
}
