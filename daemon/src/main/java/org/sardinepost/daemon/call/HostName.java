package org.sardinepost.daemon.call;

import java.util.Locale;

/** Extracts and normalizes the host part of a Host header. */
final class HostName {
    private HostName() {}

    static String withoutPort(String hostHeader) {
        int colon = hostHeader.lastIndexOf(':');
        boolean inBrackets = hostHeader.indexOf(']') > colon;
        return colon < 0 || inBrackets ? hostHeader : hostHeader.substring(0, colon);
    }

    /** Returns the host in lower case, since host names are compared case-insensitively. */
    static String normalized(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
