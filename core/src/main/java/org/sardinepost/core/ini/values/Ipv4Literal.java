package org.sardinepost.core.ini.values;

import java.util.Optional;

/**
 * Parses IPv4 addresses in dotted-decimal notation.
 *
 * <p>Uses no regular expressions for speed: a services text has thousands of addresses and is read on every update.
 */
final class Ipv4Literal {
    private static final int OCTET_COUNT = 4;
    private static final int MAX_OCTET = 255;

    private Ipv4Literal() {}

    static boolean isValid(String text) {
        int octets = 0;
        int start = 0;
        while (start <= text.length()) {
            int dot = text.indexOf('.', start);
            int end = dot < 0 ? text.length() : dot;
            octets++;
            if (octets > OCTET_COUNT || parseNumber(text, start, end, MAX_OCTET).isEmpty()) {
                return false;
            }
            start = end + 1;
        }
        return octets == OCTET_COUNT;
    }

    /** Parses a decimal number without leading zeros from start to end; empty if there is none up to the maximum. */
    static Optional<Integer> parseNumber(String text, int start, int end, int max) {
        boolean leadingZero = end - start > 1 && text.charAt(start) == '0';
        if (start == end || leadingZero) {
            return Optional.empty();
        }
        int value = 0;
        for (int index = start; index < end; index++) {
            int digit = text.charAt(index) - '0';
            if (digit < 0 || digit > 9) {
                return Optional.empty();
            }
            value = 10 * value + digit;
            if (value > max) {
                return Optional.empty();
            }
        }
        return Optional.of(value);
    }
}
