package org.sardinepost.core.configuration;

import java.util.Objects;
import org.sardinepost.core.membership.SourcePosition;

/** A conflict between two services texts that have the same version but different content. */
public record ConfigurationConflict(
        long version, SourcePosition keptAt, TextDigest kept, SourcePosition refusedAt, TextDigest refused) {
    public ConfigurationConflict {
        Objects.requireNonNull(keptAt);
        Objects.requireNonNull(refusedAt);
        Objects.requireNonNull(kept);
        Objects.requireNonNull(refused);
    }

    @Override
    public String toString() {
        return "version " + version + " was submitted twice: revision " + keptAt + " is active, revision " + refusedAt
                + " is refused; submit the refused change again with a higher version";
    }
}
