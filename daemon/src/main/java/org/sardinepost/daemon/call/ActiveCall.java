package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
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
    private final CallerConnection connection;
    private final PipelineTurn turn;
    private final Optional<PipelinedCall> pipelinedCall;
    private final AtomicBoolean released = new AtomicBoolean();
    private final AtomicBoolean responseReady = new AtomicBoolean();
    private final CompletableFuture<BufferedResponse> responseFuture = new CompletableFuture<>();
    private volatile String serviceName = "";
    /** Set by the guard or at the deadline, so that no dispatch begins after the caller was told "not run". */
    private final AtomicBoolean dispatchClaimed = new AtomicBoolean();

    private volatile boolean handedToGuard;
    private boolean admitted;

    /**
     * Creates a call that is counted as in progress.
     *
     * @param turn the turn of this request, with its running call if it was dispatched ahead
     */
    ActiveCall(
            CallDependencies dependencies,
            CallerConnection connection,
            PipelineTurn turn,
            Request request,
            Response response,
            Callback callback) {
        this.dependencies = dependencies;
        this.connection = connection;
        this.turn = turn;
        this.pipelinedCall = turn.call();
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.requestHead = new RequestHead(request);
        this.reservation = pipelinedCall
                .map(PipelinedCall::reservation)
                .orElseGet(() -> dependencies.heldBytes().openReservation(connection.account(dependencies)));
        this.timer = pipelinedCall.map(PipelinedCall::timer).orElseGet(() -> new CallTimer(dependencies.now()));
        this.record = pipelinedCall
                .map(PipelinedCall::record)
                .orElseGet(() -> new CallRecord(
                        timer.arrivalNanos(), dependencies.registry().textVersion()));
    }

    void start() {
        admitted = pipelinedCall.isPresent() || connection.mayAdmit();
        connection.callBegan();
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
        } catch (RuntimeException | Error e) {
            responseFuture.completeExceptionally(e);
        }
    }

    private void admit() {
        CallTerms terms = pipelinedCall.map(PipelinedCall::terms).orElseGet(this::evaluateHead);
        serviceName = terms.serviceName();
        if (!admitted) {
            throw new RefusedException(
                            RefusalReason.HELD_BYTES_FULL, "the requests in progress hold as much memory as they may")
                    .withRetryAfter(HeldBytes.RETRY_AFTER);
        }
        Scheduler.Task deadline = dependencies
                .scheduler()
                .schedule(
                        this::expire,
                        terms.deadlineNanos() + DEADLINE_GRACE_NANOS - dependencies.now(),
                        TimeUnit.NANOSECONDS);
        completeWith(pipelinedCall.isPresent() ? awaitPipelinedCall() : readBodyAndDispatch(terms), deadline);
    }

    private CallTerms evaluateHead() {
        CallDestination destination = CallTerms.destination(dependencies, requestHead);
        serviceName = destination.service().name();
        record.setTarget(destination.routeName(), serviceName);
        return CallTerms.of(dependencies, requestHead, destination, timer.arrivalNanos());
    }

    private CompletableFuture<BufferedResponse> awaitPipelinedCall() {
        return passToGuard(() -> pipelinedCall.orElseThrow().response());
    }

    private CompletableFuture<BufferedResponse> readBodyAndDispatch(CallTerms terms) {
        timer.startWaiting(dependencies.now());
        CompletableFuture<ByteBuffer> body =
                RequestBodyReader.read(request, dependencies.requestLimitBytes(), reservation);
        return body.thenCompose(bufferedBody -> {
            timer.stopWaiting(dependencies.now());
            Call call = terms.call(bufferedRequest(bufferedBody), connection.sentAhead(), record);
            return passToGuard(
                    () -> dependencies.guard().handle(call, new CallSender(dependencies, call, reservation, timer)));
        });
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

    private BufferedRequest bufferedRequest(ByteBuffer body) {
        return new BufferedRequest(
                request.getMethod(),
                requestHead.target(),
                EndToEndHeaders.of(request.getHeaders()),
                body,
                requestHead.hasBodyFraming() || body.hasRemaining());
    }

    /** Starts the dispatch, or takes over the one that is running, unless the call has already ended. */
    private CompletableFuture<BufferedResponse> passToGuard(Supplier<CompletableFuture<BufferedResponse>> dispatch) {
        if (responseFuture.isDone() || !dispatchClaimed.compareAndSet(false, true)) {
            return CompletableFuture.failedFuture(new RefusedException(
                    RefusalReason.DEADLINE_EXCEEDED, Outcome.NOT_RUN, "the call has already ended"));
        }
        handedToGuard = true;
        connection.watch(dependencies, requestHead, () -> responseFuture.cancel(false));
        if (responseFuture.isDone()) {
            connection.stopWatching(true);
            return CompletableFuture.failedFuture(new CancellationException("the caller has disconnected"));
        }
        CompletableFuture<BufferedResponse> guardedResponse = dispatch.get();
        var unused = responseFuture.whenComplete((buffered, failure) -> guardedResponse.cancel(false));
        return guardedResponse;
    }

    private void expire() {
        Outcome outcome = dispatchClaimed.compareAndSet(false, true) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        responseFuture.completeExceptionally(
                new RefusedException(RefusalReason.DEADLINE_EXCEEDED, outcome, "no response within the deadline"));
    }

    /**
     * Ends the call, whatever is thrown on the way: an error, such as that of a class that cannot be loaded without a free
     * descriptor, would otherwise be lost in a future, and the call would hold its memory for ever.
     */
    private void finish(BufferedResponse buffered, Throwable failure) {
        connection.responseBegan();
        try {
            respond(buffered, failure);
        } catch (RuntimeException | Error e) {
            release(Optional.ofNullable(buffered));
            callback.failed(e);
            LogEvent.CALL_ERROR.error(e, String.valueOf(e));
        }
    }

    private void respond(BufferedResponse buffered, Throwable failure) {
        responseReady.set(true);
        boolean requestRead = handedToGuard || !requestHead.hasBodyFraming();
        connection.stopWatching(requestRead);
        pipelinedCall.ifPresent(call -> call.response().cancel(false));
        BufferedResponse finalResponse = failure == null
                ? buffered
                : dependencies.localResponseTranslator().apply(LocalResponses.of(refusal(failure)));
        CallOutcome callOutcome = CallOutcome.of(finalResponse);
        // The end of a malformed request is uncertain, so the bytes after it must not be parsed as another request.
        boolean malformed = callOutcome
                .reason()
                .filter(RefusalReason.MALFORMED_REQUEST::equals)
                .isPresent();
        if (malformed || (dependencies.callsInProgress().draining() && connection.endPipeline())) {
            finalResponse = finalResponse.withHeader("Connection", "close");
        }
        callOutcome.reason().ifPresent(dependencies.metrics()::refused);
        if (connection.paceRequestsBehind(isUnavailable(callOutcome, finalResponse))) {
            dependencies.metrics().connectionPaused();
        }
        dependencies.metrics().callEnded(serviceName, callOutcome.outcome(), timer.processingNanos(dependencies.now()));
        record.ended(finalResponse.status(), callOutcome.label(), dependencies.now());
        dependencies.callLog().logCall(request.getHeaders(), record);
        BufferedResponse written = finalResponse;
        ResponseWriter.write(
                finalResponse, request, response, Callback.from(callback, () -> release(Optional.of(written))));
    }

    private static boolean isUnavailable(CallOutcome outcome, BufferedResponse response) {
        return outcome.reason().isPresent() && response.status() == HttpStatus.SERVICE_UNAVAILABLE_503;
    }

    private RefusedException refusal(Throwable failure) {
        RefusedException refused = Refusals.of(failure);
        if (!handedToGuard) {
            return Refusals.beforeGuard(turn, request.getHeaders(), refused);
        }
        return turn.mayHaveRun() ? Refusals.afterRecall(refused) : refused;
    }

    private void release(Optional<BufferedResponse> written) {
        if (!released.compareAndSet(false, true)) {
            return;
        }
        written.ifPresent(BufferedResponse::discardBody);
        reservation.release();
        connection.callEnded();
        dependencies.callsInProgress().finish();
    }
}
