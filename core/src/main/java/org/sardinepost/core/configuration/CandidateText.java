package org.sardinepost.core.configuration;

import java.util.Objects;
import org.sardinepost.core.membership.SourcePosition;

/**
 * A received services text that has not been validated.
 *
 * @param position the position in the source, which orders the submissions; the origin for a file
 * @param content the complete text
 * @param origin the source of the text
 */
public record CandidateText(SourcePosition position, String content, TextOrigin origin) {
    public CandidateText {
        Objects.requireNonNull(position);
        Objects.requireNonNull(content);
        Objects.requireNonNull(origin);
    }
}
