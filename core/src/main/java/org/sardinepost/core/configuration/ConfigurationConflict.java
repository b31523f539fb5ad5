package org.sardinepost.core.configuration;

import java.util.Objects;

/** A conflict between two services texts that have the same version but different content. */
public record ConfigurationConflict(
        long version, long keptRevision, TextDigest kept, long refusedRevision, TextDigest refused) {
    public ConfigurationConflict {
        Objects.requireNonNull(kept);
        Objects.requireNonNull(refused);
    }

    @Override
    public String toString() {
        return "version " + version + " was submitted twice: revision " + keptRevision + " is active, revision "
                + refusedRevision + " is refused; submit the refused change again with a higher version";
    }
}
