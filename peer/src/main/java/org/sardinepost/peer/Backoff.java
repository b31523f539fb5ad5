package org.sardinepost.peer;

import java.util.function.DoubleSupplier;

/** Waits between connection attempts: doubled each time, with jitter so that daemons do not reconnect in step. */
final class Backoff {
    private static final double MIN_JITTER_FACTOR = 0.5;

    private final long minMillis;
    private final long maxMillis;
    private final DoubleSupplier random;
    private long nextMillis;

    Backoff(long minMillis, long maxMillis, DoubleSupplier random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
        this.nextMillis = minMillis;
    }

    long next() {
        double factor = MIN_JITTER_FACTOR + (1 - MIN_JITTER_FACTOR) * random.getAsDouble();
        long wait = Math.round(nextMillis * factor);
        nextMillis = Math.min(nextMillis * 2, maxMillis);
        return wait;
    }

    void reset() {
        nextMillis = minMillis;
    }
}
