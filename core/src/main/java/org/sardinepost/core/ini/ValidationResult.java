package org.sardinepost.core.ini;

import java.util.List;
import java.util.Optional;

/** The value read from a file, or every error that prevents reading it. */
public record ValidationResult<T>(Optional<T> value, List<Finding> findings) {
    public ValidationResult {
        findings = List.copyOf(findings);
    }

    public static <T> ValidationResult<T> success(T value) {
        return new ValidationResult<>(Optional.of(value), List.of());
    }

    public static <T> ValidationResult<T> failure(List<Finding> findings) {
        return new ValidationResult<>(Optional.empty(), findings);
    }
}
