package org.sardinepost.core.ini;

/**
 * Decides whether a value means itself, without quotes, comments or escapes that the library would have to interpret.
 *
 * <p>Texts that programs write have only such values, and loading the library takes a sixth of the start of a daemon.
 */
final class PlainValue {
    private static final String PUNCTUATION = " .,:/%@+-_[]";

    private PlainValue() {}

    static boolean is(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            boolean alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
            if (!alphanumeric && PUNCTUATION.indexOf(c) < 0) {
                return false;
            }
        }
        return true;
    }
}
