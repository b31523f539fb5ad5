package org.sardinepost.core.ini.rules;

import java.util.Optional;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.TextRule;

/**
 * Reports an empty file.
 *
 * <p>An empty file is the result of a failed write or download. Accepting it would remove every service.
 */
public final class TextPresent implements TextRule {
    @Override
    public Optional<Finding> check(String file, String content) {
        if (!content.isBlank()) {
            return Optional.empty();
        }
        return Optional.of(new Finding(
                file, 1, "file", "the file is empty", "submit the whole file, or check how it was written"));
    }
}
