package org.sardinepost.core.ini;

import java.util.Objects;

/** What is wrong with one part of a file and what to change, without the place. */
public record Problem(String message, String remedy) {
    public Problem {
        Objects.requireNonNull(message);
        Objects.requireNonNull(remedy);
    }

    public Finding at(String file, int line, String key) {
        return new Finding(file, line, key, message, remedy);
    }
}
