package org.sardinepost.core.ini;

import java.util.Objects;
import java.util.Optional;

/**
 * The text of a value; caches its last parse result, because both the rules and the reader parse it. Thread-safe, since all
 * readers share the default values.
 */
final class IniValue {
    private final String text;
    private volatile Optional<CachedResult> cached = Optional.empty();

    IniValue(String text) {
        this.text = Objects.requireNonNull(text);
    }

    String text() {
        return text;
    }

    @SuppressWarnings("unchecked") // the cached result was produced by an equal type
    <T> Parsed<T> parse(ValueType<T> type) {
        Optional<CachedResult> last = cached;
        if (last.isPresent() && last.get().type().equals(type)) {
            return (Parsed<T>) last.get().result();
        }
        Parsed<T> result = type.parse(text);
        cached = Optional.of(new CachedResult(type, result));
        return result;
    }

    private record CachedResult(ValueType<?> type, Parsed<?> result) {}
}
