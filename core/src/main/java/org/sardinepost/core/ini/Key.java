package org.sardinepost.core.ini;

import java.util.Objects;
import java.util.Optional;

/** A key that a section may contain, with its type and default. */
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

    /** Returns the text of the default value; empty if the key has no default. */
    public Optional<String> defaultText() {
        return defaultEntry.map(IniEntry::value);
    }

    /** Returns the text of the effective value: the value that is set, or else the default. */
    public Optional<String> text(IniSection section) {
        return section.value(name).or(this::defaultText);
    }

    /** Returns the effective value; empty if there is none or it cannot be parsed. */
    public Optional<T> find(IniSection section) {
        return section.entry(name).or(() -> defaultEntry).flatMap(entry -> entry.parse(type)
                .value());
    }

    /** Returns the effective value in a section that violates no rule. */
    public T read(IniSection section) {
        return find(section)
                .orElseThrow(() -> new IllegalStateException(
                        section.label(name) + " has no valid value: the section has not been validated"));
    }
}
