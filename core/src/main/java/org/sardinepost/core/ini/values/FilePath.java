package org.sardinepost.core.ini.values;

import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * The path of a file.
 *
 * <p>An empty path is an error, because it would be resolved to the working directory.
 */
public record FilePath() implements ValueType<String> {
    @Override
    public Parsed<String> parse(String text) {
        boolean valid = !text.isBlank() && text.chars().noneMatch(Character::isISOControl);
        return valid ? Parsed.success(text) : reject(text);
    }

    @Override
    public String allowed() {
        return "the path of a file";
    }
}
