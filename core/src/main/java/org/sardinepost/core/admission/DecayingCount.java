package org.sardinepost.core.admission;

/** A sum in which older parts count exponentially less. Not thread-safe. */
public final class DecayingCount {
    private final double timeConstantNanos;
    private double sum;
    private long updatedNanos;

    public DecayingCount(long timeConstantNanos) {
        this.timeConstantNanos = timeConstantNanos;
    }

    public void increment(long nowNanos) {
        add(1, nowNanos);
    }

    /** Adds a value, which may be negative; the sum does not fall below 0. */
    public void add(double value, long nowNanos) {
        sum = Math.max(0, value(nowNanos) + value);
        updatedNanos = nowNanos;
    }

    public double value(long nowNanos) {
        return sum * Math.exp(-Math.max(0, nowNanos - updatedNanos) / timeConstantNanos);
    }
}
