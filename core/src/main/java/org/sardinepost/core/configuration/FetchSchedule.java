package org.sardinepost.core.configuration;

import java.util.Collection;
import org.sardinepost.core.membership.RendezvousHash;

/**
 * Determines how long a daemon waits for a change from its peers before it fetches the change from the configuration
 * service.
 *
 * <p>Daemons are ranked by a hash of daemon and revision, so that different daemons fetch each change first. The wait
 * is zero for the first ranks and grows logarithmically with the rank. If the first fetchers fail, the next ranks fetch
 * one step later. After the maximum wait every daemon fetches the change itself, which leaves 4 s of the 10 s limit for
 * the fetch.
 */
public final class FetchSchedule {
    /** Number of daemons that fetch a change immediately. */
    public static final int IMMEDIATE_FETCHERS = 2;

    /** Time within which peers normally forward a change; one step of the wait. */
    public static final long STEP_MILLIS = 1_500;

    /** The maximum wait. */
    public static final long MAX_WAIT_MILLIS = 6_000;

    private FetchSchedule() {}

    /** Returns the time that {@code self} waits before it fetches the revision, given its reachable peers. */
    public static long waitMillis(String self, Collection<String> peers, long revision) {
        return waitMillis(rank(self, peers, revision));
    }

    static long waitMillis(int rank) {
        if (rank < IMMEDIATE_FETCHERS) {
            return 0;
        }
        int steps = Integer.SIZE - Integer.numberOfLeadingZeros(rank / IMMEDIATE_FETCHERS);
        return Math.min(steps * STEP_MILLIS, MAX_WAIT_MILLIS);
    }

    static int rank(String self, Collection<String> peers, long revision) {
        return (int) peers.stream()
                .distinct()
                .filter(peer -> !peer.equals(self))
                .filter(peer -> RendezvousHash.precedes(peer, self, revision))
                .count();
    }
}
