package org.sardinepost.core.ini;

import java.util.List;
import java.util.Optional;

/** The value read from a file, or every error that prevents reading it. */
public record Checked<T>(Optional<T> value, List<Finding> findings) {
    public Checked {
        findings = List.copyOf(findings);
    }

    public static <T> Checked<T> success(T value) {
        return new Checked<>(Optional.of(value), List.of());
    }

    public static <T> Checked<T> faulty(List<Finding> findings) {
        return new Checked<>(Optional.empty(), findings);
    }
}
