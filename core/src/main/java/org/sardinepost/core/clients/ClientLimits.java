package org.sardinepost.core.clients;

/**
 * The bounds on what clients can make a daemon hold.
 *
 * @param bodyBytes the most that bodies of requests and responses hold
 * @param connectionShare the part of the account up to which one connection may have more than one call at a time
 * @param connections the most connections that stay open
 * @param stallNanos how long a client makes no progress until it counts as stalled
 * @param maxPauseNanos the longest pause of a connection after a refusal
 */
public record ClientLimits(
        long bodyBytes, double connectionShare, int connections, long stallNanos, long maxPauseNanos) {
    private static final double SHORT_SHARE = 0.75;

    /** The first pause is about the time in which a slot becomes free; each further refusal in a row doubles it. */
    private static final int FIRST_PAUSE_DIVISOR = 16;

    /** Bodies have at most 0.4 of the heap, so this part is 0.15 of it: with 96 MiB, about 1,500 calls. */
    private static final double CALL_SHARE = 0.375;

    /** Holds a hundred calls, so that a low limit on bodies does not refuse requests without one. */
    private static final long MIN_CALL_BYTES = 1 << 20;

    /** Calls are sent ahead up to this part, so that the next request of every connection is served before them. */
    private static final double AHEAD_SHARE = 0.5;

    /** Returns the most that calls hold besides their bodies. */
    public long callBytes() {
        return Math.max(MIN_CALL_BYTES, (long) (CALL_SHARE * bodyBytes));
    }

    long pauseNanos(int refusals) {
        long nanos = maxPauseNanos / FIRST_PAUSE_DIVISOR;
        for (int i = 1; i < refusals && nanos < maxPauseNanos; i++) {
            nanos *= 2;
        }
        return Math.min(nanos, maxPauseNanos);
    }

    boolean isShort(AccountState state) {
        return state.bodyBytes() >= SHORT_SHARE * bodyBytes || callsShort(state);
    }

    boolean callsShort(AccountState state) {
        return state.callBytes() >= SHORT_SHARE * callBytes();
    }

    boolean leavesRoomAhead(AccountState state) {
        return state.bodyBytes() < AHEAD_SHARE * bodyBytes && state.callBytes() < AHEAD_SHARE * callBytes();
    }

    boolean exceedsShare(ConnectionLoad<?> load) {
        return load.bodyBytes() >= connectionShare * bodyBytes || exceedsCallShare(load);
    }

    boolean exceedsCallShare(ConnectionLoad<?> load) {
        return load.callBytes() >= connectionShare * callBytes();
    }
}
