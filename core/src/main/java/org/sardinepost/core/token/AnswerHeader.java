package org.sardinepost.core.token;

import java.util.Objects;

/** A header field of an answer. */
public record AnswerHeader(String name, String value) {
    public AnswerHeader {
        Objects.requireNonNull(name);
        Objects.requireNonNull(value);
    }
}
