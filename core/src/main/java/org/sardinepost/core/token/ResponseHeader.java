package org.sardinepost.core.token;

import java.util.Objects;

/** A header field of an answer. */
public record ResponseHeader(String name, String value) {
    public ResponseHeader {
        Objects.requireNonNull(name);
        Objects.requireNonNull(value);
    }
}
