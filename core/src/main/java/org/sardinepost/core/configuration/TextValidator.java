package org.sardinepost.core.configuration;

import java.util.Optional;
import java.util.function.Function;
import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.text.ServicesText;

/**
 * Parses and validates services texts. This takes time in proportion to the size of the text, whereas
 * {@link ConfigurationHolder} only compares the results.
 *
 * <p>Not thread-safe.
 */
public final class TextValidator {
    private final Function<String, ValidationResult<ServicesText>> reader;
    private Optional<ValidatedText> last = Optional.empty();

    /** Creates a validator that parses each text with the reader. */
    public TextValidator(Function<String, ValidationResult<ServicesText>> reader) {
        this.reader = reader;
    }

    /** Validates a text. A text that is received repeatedly is parsed once. */
    public ValidatedText validate(CandidateText candidate) {
        return validate(candidate, TextParts.of(candidate.content()));
    }

    /** Validates a text whose sections and their digests are known, because it was assembled from them. */
    public ValidatedText validate(CandidateText candidate, TextParts parts) {
        TextDigest digest = parts.textDigest();
        ValidationResult<ServicesText> result = last.filter(
                        previous -> previous.digest().equals(digest))
                .map(ValidatedText::result)
                .orElseGet(() -> reader.apply(candidate.content()));
        ValidatedText validated = new ValidatedText(candidate, parts, digest, result);
        last = Optional.of(validated);
        return validated;
    }
}
