package org.sardinepost.core.ini;

import java.util.List;
import java.util.Optional;

/**
 * The result of reading one value.
 *
 * @param value the value; a faulty list has the items that could be read, so that further rules can check them
 * @param problems every fault of the value
 */
public record Parsed<T>(Optional<T> value, List<Problem> problems) {
    public Parsed {
        problems = List.copyOf(problems);
    }

    public static <T> Parsed<T> good(T value) {
        return new Parsed<>(Optional.of(value), List.of());
    }

    public static <T> Parsed<T> bad(String message, String remedy) {
        return new Parsed<>(Optional.empty(), List.of(new Problem(message, remedy)));
    }
}
