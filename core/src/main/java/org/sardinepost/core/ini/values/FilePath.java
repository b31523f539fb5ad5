package org.sardinepost.core.ini.values;

import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A path names a file.
 *
 * <p>An empty path would be read as the working directory.
 */
public record FilePath() implements ValueType<String> {
    @Override
    public Parsed<String> parse(String text) {
        boolean valid = !text.isBlank() && text.chars().noneMatch(Character::isISOControl);
        return valid ? Parsed.good(text) : refuse(text);
    }

    @Override
    public String allowed() {
        return "the path of a file";
    }
}
