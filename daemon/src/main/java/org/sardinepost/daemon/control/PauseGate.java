package org.sardinepost.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.membership.PauseDetector;
import org.sardinepost.core.membership.StateSource;

/** Delays new dispatches after a pause of the process until its state has been refreshed. Thread-safe. */
public final class PauseGate {
    private static final CompletableFuture<Void> OPEN = CompletableFuture.completedFuture(null);

    private final PauseDetector detector;
    private final Clock clock;
    private final List<CompletableFuture<Void>> waiting = new ArrayList<>();

    PauseGate(PauseDetector detector, Clock clock) {
        this.detector = detector;
        this.clock = clock;
    }

    /** Completes when a dispatch may start; already complete unless the process was paused. */
    public CompletableFuture<Void> whenOpen() {
        if (dispatchAllowed()) {
            return OPEN;
        }
        CompletableFuture<Void> future = new CompletableFuture<>();
        synchronized (waiting) {
            waiting.add(future);
        }
        return future;
    }

    /** Checks for a pause and returns true if one was detected; called on each control tick. */
    boolean tick() {
        boolean paused = detector.tick(clock.nanos(), clock.millis());
        releaseWaiting();
        return paused;
    }

    void stateRefreshed(StateSource source) {
        detector.stateRefreshed(source);
        releaseWaiting();
    }

    long pauses() {
        return detector.pauses();
    }

    private boolean dispatchAllowed() {
        return detector.dispatchAllowed(clock.nanos(), clock.millis());
    }

    private void releaseWaiting() {
        if (!dispatchAllowed()) {
            return;
        }
        List<CompletableFuture<Void>> released;
        synchronized (waiting) {
            released = List.copyOf(waiting);
            waiting.clear();
        }
        // Completed asynchronously, so that calls do not continue on the control thread.
        released.forEach(future -> {
            var unused = future.completeAsync(() -> null);
        });
    }
}
