package org.sardinepost.core.token;

import java.time.Duration;

/**
 * The limits of a token table.
 *
 * @param ownEntries maximum number of unexpired tokens of the daemon's own incarnation
 * @param adoptedEntries maximum number of unexpired tokens of adopted incarnations
 * @param responseBytes maximum number of bytes of stored responses and of reservations for responses
 * @param lifetime time from issue to expiry
 */
public record TokenTableLimits(int ownEntries, int adoptedEntries, long responseBytes, Duration lifetime) {
    private static final Duration TOKEN_LIFETIME = Duration.ofMinutes(10);

    /**
     * Creates limits that allow the same number of own and of adopted entries.
     *
     * <p>Adopted entries have a separate limit. With a shared limit, adopting a full table would prevent a daemon from
     * issuing tokens for up to 10 minutes.
     */
    public static TokenTableLimits of(int entries, long responseBytes) {
        return new TokenTableLimits(entries, entries, responseBytes, TOKEN_LIFETIME);
    }
}
