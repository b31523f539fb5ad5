package org.sardinepost.core.ini;

import java.util.List;
import java.util.Optional;

/**
 * The result of parsing one value.
 *
 * @param value the value; for a list with invalid items, the valid items, so that further rules can check them
 * @param problems every error in the value
 */
public record Parsed<T>(Optional<T> value, List<Problem> problems) {
    public Parsed {
        problems = List.copyOf(problems);
    }

    public static <T> Parsed<T> success(T value) {
        return new Parsed<>(Optional.of(value), List.of());
    }

    public static <T> Parsed<T> failure(String message, String remedy) {
        return new Parsed<>(Optional.empty(), List.of(new Problem(message, remedy)));
    }
}
