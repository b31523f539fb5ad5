package org.sardinepost.core.ini.rules;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.TextRule;

/**
 * Reports a file that is larger than 1 MB.
 *
 * <p>The configuration service stores no larger values. A larger file is not parsed, which bounds the cost of parsing.
 */
public final class TextSize implements TextRule {
    private static final int MAX_BYTES = 1_000_000;

    @Override
    public Optional<Finding> check(String file, String content) {
        // A character takes at least one byte in UTF-8, so longer content need not be encoded.
        if (content.length() <= MAX_BYTES && content.getBytes(StandardCharsets.UTF_8).length <= MAX_BYTES) {
            return Optional.empty();
        }
        return Optional.of(new Finding(
                file,
                1,
                "file",
                "the file is larger than " + MAX_BYTES + " bytes",
                "remove comments and services that are not used"));
    }
}
