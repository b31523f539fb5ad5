package org.sardinepost.daemon.control;

import java.util.Objects;

/** The content of a source, with its revision. */
public record SourceValue(long revision, String content) {
    public SourceValue {
        Objects.requireNonNull(content);
    }
}
