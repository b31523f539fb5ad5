package org.sardinepost.core.routing;

import java.time.Duration;
import org.sardinepost.core.admission.DecayingCount;

/**
 * How many calls one upstream refused although it reported free slots, and the closures that followed. Not thread-safe.
 *
 * <p>An upstream that refuses again soon after it was opened is closed for twice as long as before.
 */
final class RefusalRecord {
    /** The retry budget covers requests of the last 10 s as well. */
    private static final long COUNT_NANOS = Duration.ofSeconds(10).toNanos();

    /** One refusal may be due to calls that the report does not count yet. */
    private static final double MIN_REFUSALS = 1.5;

    /** The retry budget is 0.2 x the requests of a service, so it covers a smaller share of refusals. */
    private static final double MIN_SHARE = 0.2;

    private static final long FIRST_CLOSURE_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long MAX_CLOSURE_NANOS = Duration.ofSeconds(8).toNanos();

    /** At a refusal probability of 55%, one sequence of calls in 150,000 is as long; an upstream that refuses all is ejected. */
    private static final int MAX_CONSECUTIVE_REFUSALS = 20;

    private final DecayingCount refusals = new DecayingCount(COUNT_NANOS);
    private final DecayingCount responses = new DecayingCount(COUNT_NANOS);
    private int consecutiveRefusals;
    private boolean closed;
    private boolean suspected;
    private long closureNanos;
    private long untilNanos;

    void recordResponse(long nowNanos) {
        responses.increment(nowNanos);
        consecutiveRefusals = 0;
    }

    void recordRefusal(long nowNanos) {
        refusals.increment(nowNanos);
        consecutiveRefusals++;
    }

    /** Records a refusal that is no reason to close the upstream to all daemons. */
    void recordOtherRefusal() {
        consecutiveRefusals++;
    }

    /** Returns whether the upstream has refused every call for so long that it is to be ejected. */
    boolean refusesAll() {
        return consecutiveRefusals >= MAX_CONSECUTIVE_REFUSALS;
    }

    /** Returns whether a refusal that was just recorded gives reason to close the upstream. */
    boolean refusesOften(long nowNanos) {
        double refused = refusals.value(nowNanos);
        boolean enough = isSuspected(nowNanos) || refused >= MIN_REFUSALS;
        return enough && refused >= MIN_SHARE * (refused + responses.value(nowNanos));
    }

    /** Closes the upstream. */
    void close(long nowNanos) {
        closureNanos = suspected ? Math.min(MAX_CLOSURE_NANOS, 2 * closureNanos) : FIRST_CLOSURE_NANOS;
        closed = true;
        suspected = true;
        untilNanos = nowNanos + closureNanos;
    }

    /** Ends the closure early. */
    void open(long nowNanos) {
        closed = false;
        untilNanos = nowNanos;
    }

    boolean isClosed(long nowNanos) {
        return closed && untilNanos - nowNanos > 0;
    }

    /**
     * Returns whether the upstream is closed, or has been open since its last closure for a shorter time than the longest
     * closure.
     */
    boolean isSuspected(long nowNanos) {
        if (suspected && nowNanos - untilNanos >= MAX_CLOSURE_NANOS) {
            suspected = false;
            closed = false;
        }
        return suspected;
    }
}
