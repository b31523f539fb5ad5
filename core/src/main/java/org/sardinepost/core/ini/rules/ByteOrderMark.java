package org.sardinepost.core.ini.rules;

import java.util.Optional;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.TextRule;

/**
 * A text does not start with a byte order mark.
 *
 * <p>Some editors write one. It is invisible, and would make the first line neither header nor comment.
 */
public final class ByteOrderMark implements TextRule {
    private static final String MARK = "\uFEFF";

    @Override
    public Optional<Finding> check(String file, String content) {
        if (!content.startsWith(MARK)) {
            return Optional.empty();
        }
        return Optional.of(new Finding(
                file, 1, "file", "the file starts with a byte order mark", "save it as UTF-8 without byte order mark"));
    }
}
