package org.sardinepost.core.configuration;

import java.util.Objects;

/**
 * A received services text that has not been validated.
 *
 * @param revision the platform revision, which orders the submissions; 0 for a file
 * @param content the complete text
 * @param origin the source of the text
 */
public record CandidateText(long revision, String content, TextOrigin origin) {
    public CandidateText {
        Objects.requireNonNull(content);
        Objects.requireNonNull(origin);
    }
}
