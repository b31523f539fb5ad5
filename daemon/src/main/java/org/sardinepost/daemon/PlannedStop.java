package org.sardinepost.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sardinepost.daemon.call.CallsInProgress;
import org.sardinepost.daemon.log.LogEvent;

/**
 * Stops the daemon without interrupting a call.
 *
 * <p>Readiness goes off first. During the drain wait the platform's balancer notices that and new calls are still served.
 * Then the calls in progress are waited for without a limit of time, since evening reports are long.
 */
final class PlannedStop {
    private final CallsInProgress calls;
    private final Duration drainWait;
    private final Runnable closeListener;
    private final List<Supplier<CompletableFuture<Void>>> lastSteps = new CopyOnWriteArrayList<>();
    private volatile boolean begun;

    PlannedStop(CallsInProgress calls, Duration drainWait, Runnable closeListener) {
        this.calls = calls;
        this.drainWait = drainWait;
        this.closeListener = closeListener;
    }

    /** Adds a step to be taken after the last call, for example the handover of tokens. */
    void addLastStep(Supplier<CompletableFuture<Void>> step) {
        lastSteps.add(step);
    }

    Optional<String> obstacle() {
        return begun ? Optional.of("stopping") : Optional.empty();
    }

    /** Completes when the last call has ended and every last step is taken. */
    CompletableFuture<Void> run() {
        begun = true;
        calls.startDraining();
        LogEvent.STOP_REQUESTED.info(drainWait.toMillis());
        Executor afterWait = CompletableFuture.delayedExecutor(drainWait.toNanos(), TimeUnit.NANOSECONDS);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(closeListener, afterWait)
                .thenCompose(closed -> {
                    LogEvent.STOP_WAITING.info(calls.count());
                    return calls.close();
                });
        for (Supplier<CompletableFuture<Void>> step : lastSteps) {
            stopped = stopped.thenCompose(done -> step.get());
        }
        return stopped;
    }
}
