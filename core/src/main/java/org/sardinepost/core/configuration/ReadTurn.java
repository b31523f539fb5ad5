package org.sardinepost.core.configuration;

import java.time.Duration;

/**
 * Decides when a daemon reads the source of the fleet's state itself instead of relying on what a peer has read.
 *
 * <p>Each read is paid for, and every daemon needs the same state. The first daemon in an order that all of them know reads
 * and tells the others. The next ones wait a little longer each, so that a reader that is frozen, cut off or turned away by
 * the source is replaced within one step. While the source answers, the state gets little older than the age at which every
 * daemon reads; while it does not, the last state stays. Not thread-safe.
 */
public final class ReadTurn {
    /** Age at which the first daemon reads again; with a failed reader and a tick it stays far below two seconds. */
    static final Duration PERIOD = Duration.ofMillis(700);

    /** A control tick and a message to a peer; a reader that is later than this is taken to have failed. */
    static final Duration STEP = Duration.ofMillis(150);

    /** Age at which every daemon reads, whatever its rank. */
    static final Duration LONGEST_AGE = Duration.ofMillis(1_150);

    /** Pause after a read that failed, for the first daemons; the others wait twice as long. */
    static final Duration RETRY = Duration.ofMillis(500);

    /** Daemons of a higher rank read at the same age. */
    private static final int LAST_RANK = 3;

    private boolean known;
    private long stateNanos;
    private boolean reading;
    private boolean failed;
    private long failedNanos;

    /**
     * Whether to read now.
     *
     * @param rank the number of reachable daemons before this one in the order of the readers
     */
    public boolean due(int rank, long nowNanos) {
        if (reading) {
            return false;
        }
        if (failed && nowNanos - failedNanos < retry(rank).toNanos()) {
            return false;
        }
        return !known || nowNanos - stateNanos >= age(rank).toNanos();
    }

    public void started() {
        reading = true;
    }

    /** The own read ended without an answer. */
    public void failed(long nowNanos) {
        reading = false;
        failed = true;
        failedNanos = nowNanos;
    }

    /**
     * The own read was answered.
     *
     * @param askedNanos when it began, since the answer may be as old as that
     */
    public void answered(long askedNanos) {
        reading = false;
        failed = false;
        known(askedNanos);
    }

    /** This daemon holds the state as it was at that time. */
    public void known(long asOfNanos) {
        if (!known || asOfNanos - stateNanos > 0) {
            stateNanos = asOfNanos;
            known = true;
        }
    }

    /** The age of the state that this daemon holds; it must hold one. */
    public long ageNanos(long nowNanos) {
        return nowNanos - stateNanos;
    }

    private static Duration age(int rank) {
        return rank >= LAST_RANK ? LONGEST_AGE : PERIOD.plus(STEP.multipliedBy(rank));
    }

    private static Duration retry(int rank) {
        return rank >= LAST_RANK ? RETRY.multipliedBy(2) : RETRY;
    }
}
