package org.sardinepost.daemon.call;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.sardinepost.core.call.CallContext;
import org.sardinepost.core.call.CallerCheck;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.text.Route;
import org.sardinepost.core.text.Service;
import org.sardinepost.daemon.log.CallRecord;

/**
 * What the head of a request decides about its call.
 *
 * @param destination the called service and its route
 * @param context the calling service, depth and attempts that the request states
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 * @param latencyTargetNanos the time by which the response should be sent, on the monotonic clock
 * @param idempotent whether the request may be executed more than once
 * @param forwardedBy the daemon that forwarded the request
 */
record CallTerms(
        CallDestination destination,
        CallContext context,
        long deadlineNanos,
        long latencyTargetNanos,
        boolean idempotent,
        Optional<String> forwardedBy) {
    /**
     * Selects the destination of a request.
     *
     * @throws RefusedException if the request is malformed or matches no route
     */
    static CallDestination destination(CallDependencies dependencies, RequestHead head) {
        head.validate();
        String host = head.host();
        double randomFraction = ThreadLocalRandom.current().nextDouble();
        return dependencies
                .registry()
                .resolve(host, head.path(), randomFraction)
                .orElseThrow(() -> new RefusedException(
                        RefusalReason.UNKNOWN_SERVICE, "no service or route matches host " + host + " and this path"));
    }

    /**
     * Evaluates the head of a request to a destination.
     *
     * @throws RefusedException if the request is malformed, is not allowed or is too late
     */
    static CallTerms of(
            CallDependencies dependencies, RequestHead head, CallDestination destination, long arrivalNanos) {
        CallContext context = head.context();
        checkCaller(dependencies, destination.service(), context);
        long deadlineNanos = deadlineNanos(destination, head, arrivalNanos);
        return new CallTerms(
                destination,
                context,
                deadlineNanos,
                latencyTargetNanos(dependencies, destination, head, arrivalNanos, deadlineNanos),
                idempotent(destination, head),
                head.forwardedBy());
    }

    String serviceName() {
        return destination.service().name();
    }

    /**
     * Returns the call for a complete request.
     *
     * @param sentAhead whether the request arrived before the response to an earlier one of its connection was ready
     */
    Call call(BufferedRequest request, boolean sentAhead, CallRecord record) {
        return new Call(
                destination,
                request,
                context,
                deadlineNanos,
                latencyTargetNanos,
                idempotent,
                destination.maxAttempts(context),
                forwardedBy,
                sentAhead,
                record);
    }

    private static void checkCaller(CallDependencies dependencies, Service called, CallContext context) {
        Optional<Service> calling = context.callingService()
                .flatMap(dependencies.registry()::findService)
                .map(RegisteredService::service);
        Optional<RefusedException> refusal = CallerCheck.refusal(called, context, calling);
        if (refusal.isPresent()) {
            throw refusal.get();
        }
    }

    private static long deadlineNanos(CallDestination destination, RequestHead head, long arrivalNanos) {
        long allowedNanos = destination.timeLimit().toNanos();
        Optional<Long> remainingMillis = head.remainingMillis();
        if (remainingMillis.isPresent()) {
            allowedNanos = Math.min(allowedNanos, TimeUnit.MILLISECONDS.toNanos(remainingMillis.get()));
        }
        if (allowedNanos <= 0) {
            throw new RefusedException(
                    RefusalReason.DEADLINE_EXCEEDED, Outcome.NOT_RUN, "the call arrived after its deadline");
        }
        return arrivalNanos + allowedNanos;
    }

    /**
     * Returns the time of the latency target, which counts from the first attempt of the caller and may thus lie in the
     * past.
     */
    private static long latencyTargetNanos(
            CallDependencies dependencies,
            CallDestination destination,
            RequestHead head,
            long arrivalNanos,
            long deadlineNanos) {
        long waitedNanos = head.remainingMillis()
                .map(millis -> dependencies
                        .priorWaitEstimator()
                        .estimateNanos(destination.routeName(), TimeUnit.MILLISECONDS.toNanos(millis), arrivalNanos))
                .orElse(0L);
        return Math.min(
                deadlineNanos, arrivalNanos + destination.targetLatency().toNanos() - waitedNanos);
    }

    private static boolean idempotent(CallDestination destination, RequestHead head) {
        return destination.route().map(Route::idempotent).orElseGet(() -> idempotent(destination.service(), head));
    }

    private static boolean idempotent(Service service, RequestHead head) {
        return head.unambiguousPath()
                .map(requestPath -> service.idempotent(head.method(), requestPath))
                .orElseGet(() -> service.idempotentMethods().contains(head.method()));
    }
}
