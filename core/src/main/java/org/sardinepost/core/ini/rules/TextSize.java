package org.sardinepost.core.ini.rules;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.TextRule;

/**
 * A text has at most 1 MB.
 *
 * <p>The configuration service holds no larger values. A larger text is not parsed, so that its cost stays bounded.
 */
public final class TextSize implements TextRule {
    private static final int MAX_BYTES = 1_000_000;

    @Override
    public Optional<Finding> check(String file, String content) {
        // A character takes at least one byte, so a longer text need not be encoded.
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
