package org.sardinepost.core.configuration;

import java.util.Objects;
import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.text.ServicesText;

/**
 * A received services text, with the result of its validation.
 *
 * @param candidate the text as received
 * @param parts the sections of the text
 * @param digest the digest of the complete text
 * @param result the parsed text, or the findings if it is invalid
 */
public record ValidatedText(
        CandidateText candidate, TextParts parts, TextDigest digest, ValidationResult<ServicesText> result) {
    public ValidatedText {
        Objects.requireNonNull(candidate);
        Objects.requireNonNull(parts);
        Objects.requireNonNull(digest);
        Objects.requireNonNull(result);
    }
}
