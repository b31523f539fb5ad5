package org.sardinepost.peer;

import java.util.function.DoubleSupplier;

/** Exponential backoff between connection attempts, with jitter so that daemons do not reconnect simultaneously. */
final class Backoff {
    private static final double MIN_JITTER_FACTOR = 0.5;

    private final long minDelayMillis;
    private final long maxDelayMillis;
    private final DoubleSupplier randomFraction;
    private long baseDelayMillis;

    Backoff(long minDelayMillis, long maxDelayMillis, DoubleSupplier randomFraction) {
        this.minDelayMillis = minDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
        this.randomFraction = randomFraction;
        this.baseDelayMillis = minDelayMillis;
    }

    long nextDelayMillis() {
        double jitterFactor = MIN_JITTER_FACTOR + (1 - MIN_JITTER_FACTOR) * randomFraction.getAsDouble();
        long delayMillis = Math.round(baseDelayMillis * jitterFactor);
        baseDelayMillis = Math.min(baseDelayMillis * 2, maxDelayMillis);
        return delayMillis;
    }

    void reset() {
        baseDelayMillis = minDelayMillis;
    }
}
