package org.sardinepost.core.membership;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Notices that the process was paused, and holds new dispatches until it learned the current state again.
 *
 * <p>The monotonic clock may stand still while a VM is suspended and the wall clock may be set back, so a gap on either
 * counts. Thread-safe: traffic threads ask before each dispatch, which finds a pause before the first tick does.
 */
public final class PauseDetector {
    /** Ten ticks; shorter gaps are ordinary scheduling and garbage collection. */
    public static final long MAX_GAP_MILLIS = 1_000;

    /** Dispatches go on after this time without evidence, since waiting longer would refuse calls with deadlines of seconds. */
    public static final long MAX_HOLD_MILLIS = 1_000;

    private final Set<Evidence> required;
    private final Set<Evidence> missing = EnumSet.noneOf(Evidence.class);
    private long lastNanos;
    private long lastWallMillis;
    private long pauseFoundNanos;
    private boolean unreported;
    private long pauses;

    /** Creates a detector that waits for the evidence that this daemon can get at all. */
    public PauseDetector(Set<Evidence> required, long nowNanos, long wallMillis) {
        this.required = Set.copyOf(required);
        this.lastNanos = nowNanos;
        this.lastWallMillis = wallMillis;
    }

    /** Called by the control thread every 100 ms; true if a pause was found since the last tick. */
    public synchronized boolean tick(long nowNanos, long wallMillis) {
        observe(nowNanos, wallMillis);
        boolean report = unreported;
        unreported = false;
        return report;
    }

    /** Whether a new dispatch may start now. */
    public synchronized boolean dispatchAllowed(long nowNanos, long wallMillis) {
        observe(nowNanos, wallMillis);
        return missing.isEmpty() || nowNanos - pauseFoundNanos >= TimeUnit.MILLISECONDS.toNanos(MAX_HOLD_MILLIS);
    }

    /** Records evidence that was requested after the pause was found. */
    public synchronized void learned(Evidence evidence) {
        missing.remove(evidence);
    }

    /** The pauses found since the process started. */
    public synchronized long pauses() {
        return pauses;
    }

    private void observe(long nowNanos, long wallMillis) {
        long gapMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastNanos);
        if (gapMillis > MAX_GAP_MILLIS || wallMillis - lastWallMillis > MAX_GAP_MILLIS) {
            missing.addAll(required);
            pauseFoundNanos = nowNanos;
            unreported = true;
            pauses++;
        }
        // Threads read the clocks before they get here, so times may arrive out of order.
        lastNanos = nowNanos - lastNanos > 0 ? nowNanos : lastNanos;
        boolean setBack = lastWallMillis - wallMillis > MAX_GAP_MILLIS;
        lastWallMillis = setBack ? wallMillis : Math.max(wallMillis, lastWallMillis);
    }
}
