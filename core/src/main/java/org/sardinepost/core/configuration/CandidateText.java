package org.sardinepost.core.configuration;

import java.util.Objects;

/**
 * A services text as it was received, not yet checked.
 *
 * @param revision the platform's revision, which gives the order of submissions; 0 for a file
 * @param content the whole text
 * @param origin where it was learned
 */
public record CandidateText(long revision, String content, TextOrigin origin) {
    public CandidateText {
        Objects.requireNonNull(content);
        Objects.requireNonNull(origin);
    }
}
