package org.sardinepost.core.configuration;

import java.util.List;
import java.util.Objects;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.membership.SourcePosition;

/** A services text that was refused because it is invalid. */
public record RefusedText(SourcePosition position, TextOrigin origin, TextDigest digest, List<Finding> findings) {
    public RefusedText {
        Objects.requireNonNull(position);
        Objects.requireNonNull(origin);
        Objects.requireNonNull(digest);
        findings = List.copyOf(findings);
    }
}
