package org.sardinepost.core.routing;

import java.util.concurrent.TimeUnit;

/**
 * Limits the calls of this daemon to one cold upstream.
 *
 * <p>In any second it permits at most its capacity plus the tokens gained in a second. It starts with one token. Not
 * thread-safe.
 */
final class TokenBucket {
    private static final double SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Covers rounding errors in the sum of refills, which would otherwise delay a call to the next tick. */
    private static final double ROUNDING = 1e-9;

    private double tokens;
    private long updatedNanos;
    private long lastTakenNanos;

    TokenBucket(double capacity, long nowNanos) {
        tokens = Math.min(1, capacity);
        updatedNanos = nowNanos;
        lastTakenNanos = nowNanos;
    }

    /** Adds the tokens gained since the last update, and discards those above the capacity. */
    void update(double capacity, double refillPerSecond, long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
        tokens = Math.min(capacity, tokens + refillPerSecond * elapsedNanos / SECOND_NANOS);
        updatedNanos += elapsedNanos;
    }

    /** Returns the number of calls that may be sent at once, as of the last update. */
    int available() {
        return (int) (tokens + ROUNDING);
    }

    /** Takes a token for a call. Must not be called if none is available. */
    void take(long nowNanos) {
        if (available() == 0) {
            throw new IllegalStateException("the bucket is empty");
        }
        tokens = Math.max(0, tokens - 1);
        lastTakenNanos = nowNanos;
    }

    /** Returns whether the last call was sent so long ago that no window of a second contains it and the next one. */
    boolean idle(long nowNanos) {
        return nowNanos - lastTakenNanos > SECOND_NANOS;
    }
}
