package org.sardinepost.core.ini;

import java.util.Objects;

/** One {@code key = value} line. */
public final class IniEntry {
    private final String key;
    private final IniValue value;
    private final int line;

    public IniEntry(String key, String value, int line) {
        this(key, new IniValue(value), line);
    }

    IniEntry(String key, IniValue value, int line) {
        this.key = Objects.requireNonNull(key);
        this.value = value;
        this.line = line;
    }

    public String key() {
        return key;
    }

    public String value() {
        return value.text();
    }

    public int line() {
        return line;
    }

    /** Parses the value as the given type. */
    public <T> Parsed<T> parse(ValueType<T> type) {
        return value.parse(type);
    }
}
