package org.sardinepost.daemon.control;

import java.util.Objects;

/** A value that was read from a file or from the configuration service. */
public record SourceValue(long revision, String content) {
    public SourceValue {
        Objects.requireNonNull(content);
    }
}
