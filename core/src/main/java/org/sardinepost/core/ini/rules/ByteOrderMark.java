package org.sardinepost.core.ini.rules;

import java.util.Optional;
import org.sardinepost.core.ini.Finding;
import org.sardinepost.core.ini.TextRule;

/**
 * Reports a file that starts with a byte order mark.
 *
 * <p>Some editors write one. It is invisible, and the first line would be parsed as neither header nor comment.
 */
public final class ByteOrderMark implements TextRule {
    private static final String BYTE_ORDER_MARK = "\uFEFF";

    @Override
    public Optional<Finding> check(String file, String content) {
        if (!content.startsWith(BYTE_ORDER_MARK)) {
            return Optional.empty();
        }
        return Optional.of(new Finding(
                file, 1, "file", "the file starts with a byte order mark", "save it as UTF-8 without byte order mark"));
    }
}
