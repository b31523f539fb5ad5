package org.sardinepost.core.token;

import java.util.Objects;

/** One header field of an answer. */
public record AnswerHeader(String name, String value) {
    public AnswerHeader {
        Objects.requireNonNull(name);
        Objects.requireNonNull(value);
    }
}
