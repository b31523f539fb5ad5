package org.sardinepost.core.token;

import java.time.Duration;

/**
 * The memory bounds of a token table.
 *
 * @param ownEntries most unexpired tokens of the daemon's own incarnation
 * @param adoptedEntries most unexpired tokens of incarnations whose tables were handed over to this daemon
 * @param answerBytes most bytes of stored answers and of room reserved for answers
 * @param lifetime time from issue to expiry
 */
public record TokenTableLimits(int ownEntries, int adoptedEntries, long answerBytes, Duration lifetime) {
    private static final Duration LIFETIME = Duration.ofMinutes(10);

    /**
     * The bounds for a daemon.
     *
     * <p>Adopted entries have a bound of their own. Were they counted with the daemon's own, adopting a full table would
     * stop the issue of tokens for up to 10 minutes.
     */
    public static TokenTableLimits of(int entries, long answerBytes) {
        return new TokenTableLimits(entries, entries, answerBytes, LIFETIME);
    }
}
