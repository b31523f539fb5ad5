package org.sardinepost.core.token;

import java.util.List;

/** The state of one incarnation's tokens at a planned stop, entries in the order of their expiry. */
record TokenImage(TokenIssuer issuer, List<TokenEntry> entries) {
    TokenImage {
        entries = List.copyOf(entries);
    }
}
