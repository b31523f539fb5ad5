package org.sardinepost.core.configuration;

import java.time.Duration;
import java.util.OptionalInt;

/**
 * Decides when a daemon reads the source of the fleet's state itself instead of relying on a read by a peer.
 *
 * <p>Each read has a cost, also a refused one, and every daemon needs the same state. The daemons are ranked in an order
 * that all of them compute alike. The first one reads and sends the state to the others. Each following daemon waits one
 * step longer, so that a reader that is paused, partitioned or refused by the source is replaced within one step.
 *
 * <p>The load that this is for: the source is down, or refuses most daemons, while a hundred daemons need its state. The
 * reads of the fleet per second then grow like the logarithm of its size. Only the <em>scouts</em> read while the state
 * is still acceptable: the first ranks, and from there on ranks in a geometric progression, so that any part of the
 * order contains some. All daemons repeat failed reads at an interval that is proportional to the rank. Once a read
 * succeeds, that daemon goes on reading before the scouts do, and failed reads before that response no longer count.
 *
 * <p>Not thread-safe.
 */
public final class ReadSchedule {
    /**
     * State age at which the first daemon reads. Even with a failed reader and a tick, the age stays well below two
     * seconds.
     */
    static final Duration MIN_READ_AGE = Duration.ofMillis(700);

    /** Covers a control tick and a message to a peer. A reader that takes longer is considered failed. */
    static final Duration RANK_STEP = Duration.ofMillis(150);

    /** State age at which the last reader and a daemon that missed a response read, regardless of their ranks. */
    static final Duration MAX_READ_AGE = Duration.ofMillis(1_150);

    /** State age from which scouts read: one step after the last reader. */
    private static final Duration MIN_SCOUT_AGE = MAX_READ_AGE.plus(RANK_STEP);

    /** State age at which all scouts have read. With a tick and a slow read the state is replaced within 2.5 seconds. */
    private static final Duration MAX_SCOUT_AGE = Duration.ofMillis(1_750);

    /**
     * Delay after a failed read for the first daemons; the others wait twice as long if the source responded to a peer
     * since, and otherwise this delay times their position.
     */
    static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** Daemons of lower ranks read one step after another and retry after the shortest delay. */
    private static final int MAX_STAGGERED_RANK = 3;

    /** All lower ranks are scouts; from here on, each scout's rank exceeds the previous one's by an eighth. */
    private static final int SCOUT_SPACING = 8;

    /** Multiples of the golden ratio, modulo one, are evenly spread for any number of ranks. */
    private static final double PHASE_STEP = 0.618_033_988_749_895;

    private boolean hasState;
    private long stateAsOfNanos;
    private boolean stateIsFromOwnRead;
    private boolean readInProgress;
    private boolean lastReadFailed;
    private long failedAtNanos;
    private boolean hasResponded;
    private long respondedNanos;

    /**
     * Returns whether to read now.
     *
     * @param rank the number of reachable daemons that precede this one in the order of readers
     */
    public boolean due(int rank, long nowNanos) {
        if (readInProgress) {
            return false;
        }
        if (lastReadFailed && nowNanos - failedAtNanos < retryDelay(rank).toNanos()) {
            return false;
        }
        return !hasState || nowNanos - stateAsOfNanos >= readAge(rank).toNanos();
    }

    /**
     * Returns whether to ask a peer for a newer state, because the messages of the reader may not reach this daemon. Unlike
     * a read, that has no cost.
     */
    public boolean overdue(long nowNanos) {
        return hasState && overdue(stateAsOfNanos, nowNanos);
    }

    /** Returns whether a daemon with a state as of the given time should ask a peer for a newer one. */
    public static boolean overdue(long asOfNanos, long nowNanos) {
        return nowNanos - asOfNanos >= MAX_READ_AGE.toNanos();
    }

    /** Returns whether this daemon holds a state. */
    public boolean hasState() {
        return hasState;
    }

    public void started() {
        readInProgress = true;
    }

    /** Records that this daemon's read ended without a response. */
    public void failed(long nowNanos) {
        readInProgress = false;
        lastReadFailed = true;
        failedAtNanos = nowNanos;
    }

    /**
     * Records that this daemon's read got a response.
     *
     * @param askedNanos start time of the read, because the response may reflect the state at that time
     */
    public void completed(long askedNanos) {
        readInProgress = false;
        lastReadFailed = false;
        responded(askedNanos);
        stateReceived(askedNanos);
        stateIsFromOwnRead = stateAsOfNanos == askedNanos;
    }

    /** Records that this daemon's read got a response that says nothing about the present state of the source. */
    public void discarded() {
        readInProgress = false;
        lastReadFailed = false;
    }

    /** Records that the source responded to a read that some daemon started at the given time. */
    public void responded(long askedNanos) {
        if (!hasResponded || askedNanos - respondedNanos > 0) {
            respondedNanos = askedNanos;
            hasResponded = true;
        }
    }

    /** Records that this daemon holds the state as of the given time. */
    public void stateReceived(long asOfNanos) {
        if (!hasState || asOfNanos - stateAsOfNanos > 0) {
            stateAsOfNanos = asOfNanos;
            stateIsFromOwnRead = false;
            hasState = true;
        }
    }

    /** Returns the age of the state. Must only be called when this daemon holds a state. */
    public long ageNanos(long nowNanos) {
        return nowNanos - stateAsOfNanos;
    }

    private Duration readAge(int rank) {
        if (rank < MAX_STAGGERED_RANK) {
            return MIN_READ_AGE.plus(RANK_STEP.multipliedBy(rank));
        }
        boolean missedResponse = hasResponded && respondedNanos - stateAsOfNanos > 0;
        if (stateIsFromOwnRead || missedResponse) {
            return MAX_READ_AGE;
        }
        OptionalInt scout = scoutIndex(rank);
        return scout.isPresent()
                ? MIN_SCOUT_AGE.plus(fraction(MAX_SCOUT_AGE.minus(MIN_SCOUT_AGE), scout.getAsInt()))
                : MAX_SCOUT_AGE.plus(fraction(retryInterval(rank), rank));
    }

    private Duration retryDelay(int rank) {
        if (rank < MAX_STAGGERED_RANK) {
            return RETRY_DELAY;
        }
        boolean respondedSince = hasResponded && respondedNanos - failedAtNanos > 0;
        return !hasState || respondedSince ? RETRY_DELAY.multipliedBy(2) : retryInterval(rank);
    }

    /** The sum of the reciprocals over all ranks grows like the logarithm of their number. */
    private static Duration retryInterval(int rank) {
        return RETRY_DELAY.multipliedBy(rank + 1L);
    }

    /** Returns the number of scouts that precede a rank; empty if the rank is not a scout. */
    private static OptionalInt scoutIndex(int rank) {
        int scout = 0;
        int index = 0;
        while (scout < rank) {
            scout += Math.max(1, scout / SCOUT_SPACING);
            index++;
        }
        return scout == rank ? OptionalInt.of(index) : OptionalInt.empty();
    }

    private static Duration fraction(Duration duration, int position) {
        double phase = position * PHASE_STEP % 1;
        return Duration.ofNanos((long) (duration.toNanos() * phase));
    }
}
