package org.sardinepost.core.configuration;

import java.util.Objects;
import org.sardinepost.core.text.ServicesText;

/**
 * A services text that passed validation and was accepted.
 *
 * @param revision the lowest known platform revision of this content
 * @param text the parsed text
 * @param parts the sections of the text
 * @param digest the digest of the complete text
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

    AcceptedText withRevision(long earlierRevision) {
        return new AcceptedText(earlierRevision, text, parts, digest);
    }
}
