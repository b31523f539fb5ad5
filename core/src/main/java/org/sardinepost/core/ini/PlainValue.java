package org.sardinepost.core.ini;

/**
 * Detects values that need no interpretation of quotes, comments or escapes by Commons Configuration.
 *
 * <p>Generated files contain only such values, and loading the library takes a sixth of the startup time of a daemon.
 */
final class PlainValue {
    private static final String PLAIN_PUNCTUATION = " .,:/%@+-_[]";

    private PlainValue() {}

    static boolean matches(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            boolean alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
            if (!alphanumeric && PLAIN_PUNCTUATION.indexOf(c) < 0) {
                return false;
            }
        }
        return true;
    }
}
