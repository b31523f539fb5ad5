package org.sardinepost.daemon.call;

/** Tells the daemon's own time of one call from the time it waited for others. */
final class CallTimes {
    private final long arrivalNanos;
    private long waitingSinceNanos;
    private long waitedNanos;

    CallTimes(long arrivalNanos) {
        this.arrivalNanos = arrivalNanos;
    }

    long arrivalNanos() {
        return arrivalNanos;
    }

    /** The call now waits for the caller's body, a place or an upstream. */
    synchronized void waiting(long nowNanos) {
        waitingSinceNanos = nowNanos;
    }

    synchronized void proceeding(long nowNanos) {
        waitedNanos += nowNanos - waitingSinceNanos;
    }

    synchronized long ownNanos(long nowNanos) {
        return nowNanos - arrivalNanos - waitedNanos;
    }
}
