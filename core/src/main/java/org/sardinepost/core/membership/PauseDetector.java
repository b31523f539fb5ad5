package org.sardinepost.core.membership;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Detects that the process was paused and holds new dispatches until the state was refreshed.
 *
 * <p>The monotonic clock may stop while a VM is suspended, and the wall clock may be set back, so a gap on either clock
 * counts as a pause. Thread-safe: traffic threads check before each dispatch, so that a pause is detected even before
 * the first tick after it.
 */
public final class PauseDetector {
    /** Equal to ten ticks. Scheduling delays and garbage collection cause shorter gaps. */
    public static final long MAX_GAP_MILLIS = 1_000;

    /**
     * Dispatching resumes after this time even without refreshed state, because during a longer hold calls with
     * deadlines of a few seconds would be refused.
     */
    public static final long MAX_HOLD_MILLIS = 1_000;

    private final Set<StateSource> requiredSources;
    private final Set<StateSource> missingSources = EnumSet.noneOf(StateSource.class);
    private long lastMonotonicNanos;
    private long lastWallMillis;
    private long pauseDetectedNanos;
    private boolean pauseUnreported;
    private long pauses;

    /**
     * Creates a detector.
     *
     * @param requiredSources the sources to wait for after a pause; only those that this daemon can read
     */
    public PauseDetector(Set<StateSource> requiredSources, long nowNanos, long wallMillis) {
        this.requiredSources = Set.copyOf(requiredSources);
        this.lastMonotonicNanos = nowNanos;
        this.lastWallMillis = wallMillis;
    }

    /**
     * Checks for a pause; called by the control thread every 100 ms.
     *
     * @return whether a pause was detected since the last tick
     */
    public synchronized boolean tick(long nowNanos, long wallMillis) {
        checkForPause(nowNanos, wallMillis);
        boolean pauseDetected = pauseUnreported;
        pauseUnreported = false;
        return pauseDetected;
    }

    /** Returns whether a new dispatch may start now. */
    public synchronized boolean dispatchAllowed(long nowNanos, long wallMillis) {
        checkForPause(nowNanos, wallMillis);
        return missingSources.isEmpty()
                || nowNanos - pauseDetectedNanos >= TimeUnit.MILLISECONDS.toNanos(MAX_HOLD_MILLIS);
    }

    /** Records that state requested after the pause was detected has arrived from a source. */
    public synchronized void stateRefreshed(StateSource source) {
        missingSources.remove(source);
    }

    /** Returns the number of pauses detected since the process started. */
    public synchronized long pauses() {
        return pauses;
    }

    private void checkForPause(long nowNanos, long wallMillis) {
        long gapMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastMonotonicNanos);
        if (gapMillis > MAX_GAP_MILLIS || wallMillis - lastWallMillis > MAX_GAP_MILLIS) {
            missingSources.addAll(requiredSources);
            pauseDetectedNanos = nowNanos;
            pauseUnreported = true;
            pauses++;
        }
        // Threads read the clocks before they acquire the lock, so times may arrive out of order.
        lastMonotonicNanos = nowNanos - lastMonotonicNanos > 0 ? nowNanos : lastMonotonicNanos;
        boolean wallClockSetBack = lastWallMillis - wallMillis > MAX_GAP_MILLIS;
        lastWallMillis = wallClockSetBack ? wallMillis : Math.max(wallMillis, lastWallMillis);
    }
}
