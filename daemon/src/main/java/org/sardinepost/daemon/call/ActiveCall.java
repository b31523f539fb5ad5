package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.call.CallContext;
import org.sardinepost.core.call.CallerCheck;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.text.Route;
import org.sardinepost.core.text.Service;
import org.sardinepost.daemon.log.CallRecord;
import org.sardinepost.daemon.log.LogEvent;

/** Processes one call, from the head of its request to the end of its response. */
final class ActiveCall {
    /**
     * The delay after its deadline with which a call is ended here. A dispatch ends itself at the deadline and then
     * knows the outcome; this limit covers everything else.
     */
    private static final long DEADLINE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The time that a call waits for the daemon to start: a fifth of the usual deadline of callers. */
    private static final long STARTUP_WAIT_MILLIS = 400;

    private static final Duration STARTUP_RETRY_AFTER = Duration.ofMillis(300);

    private final CallDependencies dependencies;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final RequestHead requestHead;
    private final HeldBytesReservation reservation;
    private final CallTimer timer;
    private final CallRecord record;
    private final DisconnectWatch disconnectWatch;
    private final AtomicBoolean responseReady = new AtomicBoolean();
    private final CompletableFuture<BufferedResponse> responseFuture = new CompletableFuture<>();
    private volatile String serviceName = "";
    /** Set by the guard or at the deadline, so that no dispatch begins after the caller was told "not run". */
    private final AtomicBoolean dispatchClaimed = new AtomicBoolean();

    private volatile boolean handedToGuard;

    ActiveCall(CallDependencies dependencies, Request request, Response response, Callback callback) {
        this.dependencies = dependencies;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.requestHead = new RequestHead(request);
        this.disconnectWatch = new DisconnectWatch(request);
        this.reservation = dependencies.heldBytes().openReservation();
        this.timer = new CallTimer(dependencies.now());
        this.record = new CallRecord(timer.arrivalNanos());
    }

    void start() {
        request.addIdleTimeoutListener(timeout -> responseReady.get());
        request.addFailureListener(failure -> responseFuture.cancel(false));
        var unused = responseFuture.whenComplete((buffered, failure) -> finish(buffered, failure));
        if (dependencies.startupCompletion().isDone()) {
            admitOrRefuse();
        } else {
            admitAfterStartup();
        }
    }

    /**
     * Waits for the startup of the daemon before admission. A daemon that is starting reads its services within
     * moments, which is faster than a retry by the caller.
     */
    private void admitAfterStartup() {
        RefusedException refusal = new RefusedException(
                        RefusalReason.NO_CONFIGURATION, "this daemon has not loaded a services text yet")
                .withRetryAfter(STARTUP_RETRY_AFTER);
        Scheduler.Task startupTimeout = dependencies
                .scheduler()
                .schedule(
                        () -> responseFuture.completeExceptionally(refusal),
                        STARTUP_WAIT_MILLIS,
                        TimeUnit.MILLISECONDS);
        var unused = dependencies
                .startupCompletion()
                .thenRunAsync(
                        () -> {
                            if (startupTimeout.cancel() && !responseFuture.isDone()) {
                                admitOrRefuse();
                            }
                        },
                        request.getComponents().getExecutor());
    }

    private void admitOrRefuse() {
        try {
            admit();
        } catch (RefusedException refused) {
            responseFuture.completeExceptionally(refused);
        }
    }

    private void admit() {
        requestHead.validate();
        CallDestination destination = destination(requestHead.host());
        serviceName = destination.service().name();
        record.setTarget(destination.route().map(Route::name).orElse(""), serviceName);
        CallContext context = requestHead.context();
        checkCaller(destination.service(), context);
        long deadlineNanos = deadlineNanos(destination);
        Scheduler.Task deadline = dependencies
                .scheduler()
                .schedule(
                        this::expire, deadlineNanos + DEADLINE_GRACE_NANOS - dependencies.now(), TimeUnit.NANOSECONDS);
        timer.startWaiting(dependencies.now());
        CompletableFuture<ByteBuffer> body =
                RequestBodyReader.read(request, dependencies.requestLimitBytes(), reservation);
        CompletableFuture<BufferedResponse> guardedResponse = body.thenCompose(bufferedBody -> {
            timer.stopWaiting(dependencies.now());
            return passToGuard(new Call(
                    destination,
                    bufferedRequest(bufferedBody),
                    context,
                    deadlineNanos,
                    latencyTargetNanos(destination, deadlineNanos),
                    idempotent(destination),
                    destination.maxAttempts(context),
                    requestHead.forwardedBy(),
                    record));
        });
        completeWith(guardedResponse, deadline);
    }

    private void completeWith(CompletableFuture<BufferedResponse> guardedResponse, Scheduler.Task deadline) {
        var unused = guardedResponse.whenComplete((buffered, failure) -> {
            if (failure != null) {
                responseFuture.completeExceptionally(failure);
            } else {
                responseFuture.complete(buffered);
            }
        });
        var unusedToo = responseFuture.whenComplete((buffered, failure) -> deadline.cancel());
    }

    private CallDestination destination(String host) {
        double randomFraction = ThreadLocalRandom.current().nextDouble();
        return dependencies
                .registry()
                .resolve(host, requestHead.path(), randomFraction)
                .orElseThrow(() -> new RefusedException(
                        RefusalReason.UNKNOWN_SERVICE, "no service or route matches host " + host + " and this path"));
    }

    private void checkCaller(Service called, CallContext context) {
        Optional<Service> calling = context.callingService()
                .flatMap(dependencies.registry()::findService)
                .map(RegisteredService::service);
        Optional<RefusedException> refusal = CallerCheck.refusal(called, context, calling);
        if (refusal.isPresent()) {
            throw refusal.get();
        }
    }

    private long deadlineNanos(CallDestination destination) {
        long allowedNanos = destination.timeLimit().toNanos();
        Optional<Long> remainingMillis = requestHead.remainingMillis();
        if (remainingMillis.isPresent()) {
            allowedNanos = Math.min(allowedNanos, TimeUnit.MILLISECONDS.toNanos(remainingMillis.get()));
        }
        if (allowedNanos <= 0) {
            throw new RefusedException(
                    RefusalReason.DEADLINE_EXCEEDED, Outcome.NOT_RUN, "the call arrived after its deadline");
        }
        return timer.arrivalNanos() + allowedNanos;
    }

    /**
     * Returns the time of the latency target, which counts from the first attempt of the caller and may thus lie in the
     * past.
     */
    private long latencyTargetNanos(CallDestination destination, long deadlineNanos) {
        long waitedNanos = requestHead
                .remainingMillis()
                .map(millis -> dependencies
                        .priorWaitEstimator()
                        .estimateNanos(
                                destination.routeName(), TimeUnit.MILLISECONDS.toNanos(millis), timer.arrivalNanos()))
                .orElse(0L);
        long latencyTargetNanos =
                timer.arrivalNanos() + destination.targetLatency().toNanos() - waitedNanos;
        return Math.min(deadlineNanos, latencyTargetNanos);
    }

    private BufferedRequest bufferedRequest(ByteBuffer body) {
        return new BufferedRequest(
                request.getMethod(),
                requestHead.target(),
                EndToEndHeaders.of(request.getHeaders()),
                body,
                requestHead.hasBodyFraming() || body.hasRemaining());
    }

    private boolean idempotent(CallDestination destination) {
        return destination.route().map(Route::idempotent).orElseGet(() -> idempotent(destination.service()));
    }

    private boolean idempotent(Service service) {
        return requestHead
                .unambiguousPath()
                .map(requestPath -> service.idempotent(request.getMethod(), requestPath))
                .orElseGet(() -> service.idempotentMethods().contains(request.getMethod()));
    }

    private CompletableFuture<BufferedResponse> passToGuard(Call call) {
        if (responseFuture.isDone() || !dispatchClaimed.compareAndSet(false, true)) {
            return CompletableFuture.failedFuture(new RefusedException(
                    RefusalReason.DEADLINE_EXCEEDED, Outcome.NOT_RUN, "the call has already ended"));
        }
        handedToGuard = true;
        disconnectWatch.start(() -> responseFuture.cancel(false));
        if (responseFuture.isDone()) {
            disconnectWatch.stop();
        }
        CompletableFuture<BufferedResponse> guardedResponse =
                dependencies.guard().handle(call, new CallSender(dependencies, call, reservation, timer));
        var unused = responseFuture.whenComplete((buffered, failure) -> guardedResponse.cancel(false));
        return guardedResponse;
    }

    private void expire() {
        Outcome outcome = dispatchClaimed.compareAndSet(false, true) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        responseFuture.completeExceptionally(
                new RefusedException(RefusalReason.DEADLINE_EXCEEDED, outcome, "no response within the deadline"));
    }

    private void finish(BufferedResponse buffered, Throwable failure) {
        responseReady.set(true);
        disconnectWatch.stop();
        BufferedResponse finalResponse = failure == null
                ? buffered
                : dependencies.localResponseTranslator().apply(LocalResponses.of(refusal(failure)));
        CallOutcome callOutcome = CallOutcome.of(finalResponse);
        // The end of a malformed request is uncertain, so the bytes after it must not be parsed as another request.
        boolean malformed = callOutcome
                .reason()
                .filter(RefusalReason.MALFORMED_REQUEST::equals)
                .isPresent();
        if (malformed || dependencies.callsInProgress().draining()) {
            finalResponse = finalResponse.withHeader("Connection", "close");
        }
        callOutcome.reason().ifPresent(dependencies.metrics()::refused);
        dependencies.metrics().callEnded(serviceName, callOutcome.outcome(), timer.processingNanos(dependencies.now()));
        record.ended(finalResponse.status(), callOutcome.label(), dependencies.now());
        dependencies.callLog().logCall(request.getHeaders(), record);
        Callback done = Callback.from(callback, this::release);
        try {
            ResponseWriter.write(finalResponse, request, response, done);
        } catch (RuntimeException e) {
            LogEvent.CALL_ERROR.error(e, String.valueOf(e));
            done.failed(e);
        }
    }

    private RefusedException refusal(Throwable failure) {
        RefusedException refused = Refusals.of(failure);
        return handedToGuard ? refused : Refusals.beforeGuard(request.getHeaders(), refused);
    }

    private void release() {
        reservation.release();
        dependencies.callsInProgress().finish();
    }
}
