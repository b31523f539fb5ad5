package org.sardinepost.core.ini.values;

import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A name has only characters that need no quoting in headers, metrics and lists.
 *
 * <p>The name of a service is also a value of the Host header, and is compared without regard to case; therefore names are
 * lower case.
 */
public record Name() implements ValueType<String> {
    private static final int MAX_CHARACTERS = 63;

    @Override
    public Parsed<String> parse(String text) {
        return valid(text) ? Parsed.good(text) : refuse(text);
    }

    @Override
    public String allowed() {
        return "a name of at most 63 lower-case letters, digits, hyphens, dots and underscores";
    }

    private static boolean valid(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_CHARACTERS
                && letterOrDigit(text.charAt(0))
                && text.chars().allMatch(character -> letterOrDigit(character) || "._-".indexOf(character) >= 0);
    }

    private static boolean letterOrDigit(int character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
    }
}
