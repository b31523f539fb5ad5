package org.sardinepost.core.ini;

import java.util.Objects;
import java.util.Optional;

/** One key of a section. */
public final class Key<T> {
    private final String name;
    private final ValueType<T> type;
    private final boolean required;
    private final Optional<IniEntry> defaultEntry;

    private Key(String name, ValueType<T> type, boolean required, Optional<String> defaultText) {
        this.name = Objects.requireNonNull(name);
        this.type = Objects.requireNonNull(type);
        this.required = required;
        this.defaultEntry = defaultText.map(text -> new IniEntry(name, text, 1));
    }

    public static <T> Key<T> required(String name, ValueType<T> type) {
        return new Key<>(name, type, true, Optional.empty());
    }

    public static <T> Key<T> optional(String name, ValueType<T> type) {
        return new Key<>(name, type, false, Optional.empty());
    }

    public static <T> Key<T> optional(String name, ValueType<T> type, String defaultText) {
        return new Key<>(name, type, false, Optional.of(defaultText));
    }

    public String name() {
        return name;
    }

    public ValueType<T> type() {
        return type;
    }

    public boolean required() {
        return required;
    }

    /** The value that is in force when the key is not set; empty if there is none. */
    public Optional<String> defaultText() {
        return defaultEntry.map(IniEntry::value);
    }

    /** The text of the value in force. */
    public Optional<String> text(IniSection section) {
        return section.value(name).or(this::defaultText);
    }

    /** The value in force, as far as it can be read. */
    public Optional<T> find(IniSection section) {
        return section.entry(name).or(() -> defaultEntry).flatMap(entry -> entry.parse(type)
                .value());
    }

    /** The value in force, in a section that every rule has passed. */
    public T read(IniSection section) {
        return find(section).orElseThrow(() -> new IllegalStateException(section.label(name) + " was not checked"));
    }
}
