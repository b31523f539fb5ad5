package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.admission.PriorWait;
import org.sardinepost.core.routing.Origin;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.log.CallLog;
import org.sardinepost.daemon.metrics.CallMetrics;

/**
 * The parts that every call uses.
 *
 * @param registry the services in force
 * @param client sends requests to upstreams
 * @param ownAnswers translates the answers that the daemon makes itself
 * @param guard decides whether and where a call is sent
 * @param gate holds dispatches back while the daemon's state may be outdated
 * @param started completes when the daemon knows its services and upstreams
 * @param heldBytes the account of held requests and answers
 * @param callsInProgress counts calls for the planned stop
 * @param metrics counters of calls, refusals and retries
 * @param log the lines of ended calls
 * @param scheduler ends calls at their deadline
 * @param nanoClock the monotonic clock
 * @param ownAddress the caller address of this daemon, which forwarded requests carry
 * @param origin this daemon as the sender of calls
 * @param priorWait estimates how long callers have waited before
 * @param requestLimitBytes the largest request body
 */
public record CallPath(
        ServiceRegistry registry,
        UpstreamClient client,
        UnaryOperator<HeldAnswer> ownAnswers,
        RequestGuard guard,
        DispatchGate gate,
        CompletableFuture<?> started,
        HeldBytes heldBytes,
        CallsInProgress callsInProgress,
        CallMetrics metrics,
        CallLog log,
        Scheduler scheduler,
        LongSupplier nanoClock,
        UpstreamId ownAddress,
        Supplier<Origin> origin,
        PriorWait priorWait,
        long requestLimitBytes) {
    long now() {
        return nanoClock.getAsLong();
    }
}
