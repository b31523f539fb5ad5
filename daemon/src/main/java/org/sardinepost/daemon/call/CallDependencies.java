package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.admission.PriorWaitEstimator;
import org.sardinepost.core.routing.Origin;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.log.CallLog;
import org.sardinepost.daemon.metrics.CallMetrics;

/**
 * The dependencies that all calls share.
 *
 * @param registry the configured services
 * @param client sends requests to upstreams
 * @param localResponseTranslator translates the responses that the daemon generates itself
 * @param guard decides whether and where a call is sent
 * @param dispatchGate delays dispatches while the state of the daemon may be outdated
 * @param startupCompletion completes when the daemon knows its services and upstreams
 * @param heldBytes limits the memory of buffered requests and responses
 * @param callsInProgress counts calls for the planned stop
 * @param metrics the counters of calls, refusals and retries
 * @param callLog logs completed calls
 * @param scheduler ends calls at their deadline
 * @param nanoClock the monotonic clock
 * @param ownAddress the caller address of this daemon, which is sent with forwarded requests
 * @param origin identifies this daemon as the sender of calls
 * @param priorWaitEstimator estimates how long callers waited before this request
 * @param requestLimitBytes the maximum size of a request body
 */
public record CallDependencies(
        ServiceRegistry registry,
        UpstreamClient client,
        UnaryOperator<BufferedResponse> localResponseTranslator,
        RequestGuard guard,
        DispatchGate dispatchGate,
        CompletableFuture<?> startupCompletion,
        HeldBytes heldBytes,
        CallsInProgress callsInProgress,
        CallMetrics metrics,
        CallLog callLog,
        Scheduler scheduler,
        LongSupplier nanoClock,
        UpstreamId ownAddress,
        Supplier<Origin> origin,
        PriorWaitEstimator priorWaitEstimator,
        long requestLimitBytes) {
    long now() {
        return nanoClock.getAsLong();
    }
}
