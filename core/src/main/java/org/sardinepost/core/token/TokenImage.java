package org.sardinepost.core.token;

import java.util.List;

/**
 * A snapshot of the tokens of one daemon incarnation, taken for handover at a planned stop. The entries are in
 * ascending order of expiry.
 */
record TokenImage(TokenIssuer issuer, List<TokenEntry> entries) {
    TokenImage {
        entries = List.copyOf(entries);
    }
}
