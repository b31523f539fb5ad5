package org.sardinepost.core.configuration;

import java.time.Duration;

/**
 * Decides when a daemon reads the source of the fleet's state itself instead of relying on a read by a peer.
 *
 * <p>Each read has a cost, and every daemon needs the same state. The daemons are ranked in an order that all of them
 * compute alike. The first one reads and sends the state to the others. Each following daemon waits one step longer, so
 * that a reader that is paused, partitioned or refused by the source is replaced within one step. While the source
 * responds, the state becomes only slightly older than the age at which every daemon reads. While it does not, the last
 * state remains in use.
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

    /** State age at which every daemon reads regardless of its rank. */
    static final Duration MAX_READ_AGE = Duration.ofMillis(1_150);

    /** Delay after a failed read for the first daemons; the others wait twice as long. */
    static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** Daemons with a higher rank read at the same age as this one. */
    private static final int MAX_STAGGERED_RANK = 3;

    private boolean hasState;
    private long stateAsOfNanos;
    private boolean readInProgress;
    private boolean lastReadFailed;
    private long failedAtNanos;

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
        stateReceived(askedNanos);
    }

    /** Records that this daemon holds the state as of the given time. */
    public void stateReceived(long asOfNanos) {
        if (!hasState || asOfNanos - stateAsOfNanos > 0) {
            stateAsOfNanos = asOfNanos;
            hasState = true;
        }
    }

    /** Returns the age of the state. Must only be called when this daemon holds a state. */
    public long ageNanos(long nowNanos) {
        return nowNanos - stateAsOfNanos;
    }

    private static Duration readAge(int rank) {
        return rank >= MAX_STAGGERED_RANK ? MAX_READ_AGE : MIN_READ_AGE.plus(RANK_STEP.multipliedBy(rank));
    }

    private static Duration retryDelay(int rank) {
        return rank >= MAX_STAGGERED_RANK ? RETRY_DELAY.multipliedBy(2) : RETRY_DELAY;
    }
}
