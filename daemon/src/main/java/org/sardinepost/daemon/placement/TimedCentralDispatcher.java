package org.sardinepost.daemon.placement;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.routing.CentralDispatcher;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;

/**
 * Dispatches the calls of all daemons with a {@link CentralDispatcher}, and expires its queue periodically while calls
 * are queued. Thread-safe.
 */
public final class TimedCentralDispatcher {
    /** The time that a dispatcher waits for the responses to its load probes. */
    private static final long EXPIRY_INTERVAL_MILLIS = 8;

    private final CentralDispatcher dispatcher;
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private final AtomicBoolean expiryScheduled = new AtomicBoolean();

    public TimedCentralDispatcher(CentralDispatcher dispatcher, Scheduler scheduler, LongSupplier nanoClock) {
        this.dispatcher = dispatcher;
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
    }

    CentralDispatcher dispatcher() {
        return dispatcher;
    }

    CompletableFuture<Dispatch> acquire(DispatchRequest request) {
        CompletableFuture<Dispatch> dispatch = dispatcher.acquire(request, nanoClock.getAsLong());
        if (!dispatch.isDone()) {
            scheduleExpiry();
        }
        return dispatch;
    }

    private void scheduleExpiry() {
        if (expiryScheduled.compareAndSet(false, true)) {
            scheduler.schedule(this::expireQueue, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void expireQueue() {
        expiryScheduled.set(false);
        try {
            dispatcher.expireQueuedCalls(nanoClock.getAsLong());
        } finally {
            // A call whose completion fails must not leave the others in the queue.
            if (dispatcher.hasQueuedCalls()) {
                scheduleExpiry();
            }
        }
    }
}
