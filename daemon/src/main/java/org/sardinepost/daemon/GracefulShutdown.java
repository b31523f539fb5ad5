package org.sardinepost.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.sardinepost.daemon.call.CallsInProgress;
import org.sardinepost.daemon.log.LogEvent;

/**
 * Shuts the daemon down without interrupting a call.
 *
 * <p>The daemon first reports that it is not ready. New calls are still served during the drain wait, in which the platform's
 * load balancer detects the change. The daemon then waits for the calls in progress without a time limit, because some calls,
 * such as evening reports, take long.
 */
final class GracefulShutdown {
    private final CallsInProgress calls;
    private final Duration drainWait;
    private final Runnable closeCallerConnector;
    private volatile boolean started;

    GracefulShutdown(CallsInProgress calls, Duration drainWait, Runnable closeCallerConnector) {
        this.calls = calls;
        this.drainWait = drainWait;
        this.closeCallerConnector = closeCallerConnector;
    }

    Optional<String> unreadyReason() {
        return started ? Optional.of("stopping") : Optional.empty();
    }

    /** Starts the shutdown. The future completes when the last call has ended. */
    CompletableFuture<Void> start() {
        started = true;
        calls.startDraining();
        LogEvent.STOP_REQUESTED.info(drainWait.toMillis());
        Executor afterDrainWait = CompletableFuture.delayedExecutor(drainWait.toNanos(), TimeUnit.NANOSECONDS);
        return CompletableFuture.runAsync(closeCallerConnector, afterDrainWait).thenCompose(closed -> {
            LogEvent.STOP_AWAITING_CALLS.info(calls.count());
            return calls.close();
        });
    }
}
