package org.sardinepost.core.ini;

import java.util.Objects;

/** An error and its correction, without a location in a file. */
public record Problem(String message, String remedy) {
    public Problem {
        Objects.requireNonNull(message);
        Objects.requireNonNull(remedy);
    }

    public Finding at(String file, int line, String key) {
        return new Finding(file, line, key, message, remedy);
    }
}
