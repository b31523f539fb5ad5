package org.sardinepost.core.ini;

import java.util.Objects;
import java.util.Optional;

/**
 * One key of a section.
 *
 * @param defaultText the value that is in force when the key is not set; empty if there is none
 */
public record Key<T>(String name, ValueType<T> type, boolean required, Optional<String> defaultText) {
    public Key {
        Objects.requireNonNull(name);
        Objects.requireNonNull(type);
        Objects.requireNonNull(defaultText);
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

    /** The text of the value in force. */
    public Optional<String> text(IniSection section) {
        return section.value(name).or(() -> defaultText);
    }

    /** The value in force, as far as it can be read. */
    public Optional<T> find(IniSection section) {
        return text(section).flatMap(text -> type.parse(text).value());
    }

    /** The value in force, in a section that every rule has passed. */
    public T read(IniSection section) {
        return find(section).orElseThrow(() -> new IllegalStateException(section.label(name) + " was not checked"));
    }
}
