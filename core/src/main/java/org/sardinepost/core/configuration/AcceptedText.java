package org.sardinepost.core.configuration;

import java.util.Objects;
import org.sardinepost.core.text.ServicesText;

/**
 * A checked services text that was accepted.
 *
 * @param revision the lowest platform revision under which this content was seen
 * @param text the checked text
 * @param parts its sections
 * @param digest the digest of the whole text
 */
public record AcceptedText(long revision, ServicesText text, TextParts parts, TextDigest digest) {
    public AcceptedText {
        Objects.requireNonNull(text);
        Objects.requireNonNull(parts);
        Objects.requireNonNull(digest);
    }

    public long version() {
        return text.version();
    }

    AcceptedText withRevision(long earlier) {
        return new AcceptedText(earlier, text, parts, digest);
    }
}
