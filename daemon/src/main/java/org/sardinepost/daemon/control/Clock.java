package org.sardinepost.daemon.control;

import java.util.function.LongSupplier;

/** The monotonic clock and the wall clock of the process; tests substitute their own. */
public record Clock(LongSupplier monotonicNanos, LongSupplier wallMillis) {
    public static Clock system() {
        return new Clock(System::nanoTime, System::currentTimeMillis);
    }

    public long nanos() {
        return monotonicNanos.getAsLong();
    }

    public long millis() {
        return wallMillis.getAsLong();
    }
}
