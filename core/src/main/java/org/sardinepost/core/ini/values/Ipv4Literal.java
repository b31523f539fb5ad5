package org.sardinepost.core.ini.values;

import java.util.Optional;

/**
 * Reads IPv4 addresses in dotted decimal.
 *
 * <p>It uses no regular expressions: a services text has thousands of addresses and is read at every change.
 */
final class Ipv4Literal {
    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;

    private Ipv4Literal() {}

    static boolean valid(String text) {
        int octets = 0;
        int start = 0;
        while (start <= text.length()) {
            int dot = text.indexOf('.', start);
            int end = dot < 0 ? text.length() : dot;
            octets++;
            if (octets > OCTETS || number(text, start, end, MAX_OCTET).isEmpty()) {
                return false;
            }
            start = end + 1;
        }
        return octets == OCTETS;
    }

    /** The decimal number without leading zeros in a part of the text; empty if there is none up to the maximum. */
    static Optional<Integer> number(String text, int start, int end, int max) {
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
