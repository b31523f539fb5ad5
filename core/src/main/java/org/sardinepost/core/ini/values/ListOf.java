package org.sardinepost.core.ini.values;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.Problem;
import org.sardinepost.core.ini.ValueType;

/**
 * A comma-separated list whose items are all valid.
 *
 * <p>One invalid item makes the list invalid, because skipping it would silently shorten the list. An empty item is an
 * error, because it results from a missing item or an extra comma.
 */
public record ListOf<T>(ValueType<T> item) implements ValueType<List<T>> {
    @Override
    public Parsed<List<T>> parse(String text) {
        List<T> values = new ArrayList<>();
        List<Problem> problems = new ArrayList<>();
        if (!text.isBlank()) {
            Arrays.stream(text.split(",", -1))
                    .map(String::trim)
                    .map(this::parseItem)
                    .forEach(parsed -> {
                        parsed.value().ifPresent(values::add);
                        problems.addAll(parsed.problems());
                    });
        }
        return new Parsed<>(Optional.of(List.copyOf(values)), problems);
    }

    @Override
    public String allowed() {
        return "a list with commas, each item " + item.allowed();
    }

    private Parsed<T> parseItem(String text) {
        return text.isEmpty()
                ? Parsed.failure("an item of the list is empty", "remove the extra comma or add the item")
                : item.parse(text);
    }
}
