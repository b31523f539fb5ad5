package org.sardinepost.daemon.call;

/** Measures the processing time of one call in the daemon, without the time spent waiting for others. */
final class CallTimer {
    private final long arrivalNanos;
    private long waitingSinceNanos;
    private long waitedNanos;

    CallTimer(long arrivalNanos) {
        this.arrivalNanos = arrivalNanos;
    }

    long arrivalNanos() {
        return arrivalNanos;
    }

    /** Records that the call starts to wait for the request body, for a slot of an upstream or for a response. */
    synchronized void startWaiting(long nowNanos) {
        waitingSinceNanos = nowNanos;
    }

    synchronized void stopWaiting(long nowNanos) {
        waitedNanos += nowNanos - waitingSinceNanos;
    }

    synchronized long processingNanos(long nowNanos) {
        return nowNanos - arrivalNanos - waitedNanos;
    }
}
