package org.sardinepost.core.token;

import java.util.Objects;

/** A header field of a response. */
public record ResponseHeader(String name, String value) {
    public ResponseHeader {
        Objects.requireNonNull(name);
        Objects.requireNonNull(value);
    }
}
