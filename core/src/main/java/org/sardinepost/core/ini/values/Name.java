package org.sardinepost.core.ini.values;

import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A name of characters that need no quoting in headers, metrics and lists.
 *
 * <p>Names are lower case, because the name of a service is also a value of the Host header, which is compared without
 * regard to case.
 */
public record Name() implements ValueType<String> {
    private static final int MAX_CHARACTERS = 63;

    @Override
    public Parsed<String> parse(String text) {
        return isValid(text) ? Parsed.success(text) : reject(text);
    }

    @Override
    public String allowed() {
        return "a name of at most 63 lower-case letters, digits, hyphens, dots and underscores";
    }

    private static boolean isValid(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_CHARACTERS
                && isLetterOrDigit(text.charAt(0))
                && text.chars().allMatch(character -> isLetterOrDigit(character) || "._-".indexOf(character) >= 0);
    }

    private static boolean isLetterOrDigit(int character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
    }
}
