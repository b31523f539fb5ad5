package org.sardinepost.core.configuration;

import java.util.Objects;
import org.sardinepost.core.membership.SourcePosition;
import org.sardinepost.core.text.ServicesText;

/**
 * A services text that passed validation and was accepted.
 *
 * @param position the earliest known position of this content in the source
 * @param text the parsed text
 * @param parts the sections of the text
 * @param digest the digest of the complete text
 */
public record AcceptedText(SourcePosition position, ServicesText text, TextParts parts, TextDigest digest) {
    public AcceptedText {
        Objects.requireNonNull(position);
        Objects.requireNonNull(text);
        Objects.requireNonNull(parts);
        Objects.requireNonNull(digest);
    }

    public long version() {
        return text.version();
    }

    AcceptedText withPosition(SourcePosition earlierPosition) {
        return new AcceptedText(earlierPosition, text, parts, digest);
    }
}
