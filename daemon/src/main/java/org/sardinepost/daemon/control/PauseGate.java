package org.sardinepost.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.membership.Evidence;
import org.sardinepost.core.membership.PauseDetector;

/** Holds new dispatches after a pause of the process until its state was read again. Thread-safe. */
public final class PauseGate {
    private static final CompletableFuture<Void> OPEN = CompletableFuture.completedFuture(null);

    private final PauseDetector detector;
    private final Clock clock;
    private final List<CompletableFuture<Void>> waiting = new ArrayList<>();

    PauseGate(PauseDetector detector, Clock clock) {
        this.detector = detector;
        this.clock = clock;
    }

    /** Completes when a dispatch may start; completed already unless the process was paused. */
    public CompletableFuture<Void> passage() {
        if (allowed()) {
            return OPEN;
        }
        CompletableFuture<Void> passage = new CompletableFuture<>();
        synchronized (waiting) {
            waiting.add(passage);
        }
        return passage;
    }

    /** Called on each control tick; true if a pause was found. */
    boolean tick() {
        boolean paused = detector.tick(clock.nanos(), clock.millis());
        release();
        return paused;
    }

    void learned(Evidence evidence) {
        detector.learned(evidence);
        release();
    }

    long pauses() {
        return detector.pauses();
    }

    private boolean allowed() {
        return detector.dispatchAllowed(clock.nanos(), clock.millis());
    }

    private void release() {
        if (!allowed()) {
            return;
        }
        List<CompletableFuture<Void>> passing;
        synchronized (waiting) {
            passing = List.copyOf(waiting);
            waiting.clear();
        }
        // Calls go on with other threads than the one that does control work.
        passing.forEach(passage -> {
            var unused = passage.completeAsync(() -> null);
        });
    }
}
