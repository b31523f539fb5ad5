package org.sardinepost.daemon.call;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.routing.UpstreamId;

/** Sends one admitted call to an upstream or to another daemon. */
final class CallSender implements CallDispatch {
    private final CallDependencies dependencies;
    private final Call call;
    private final HeldBytesReservation reservation;
    private final CallTimer timer;

    CallSender(CallDependencies dependencies, Call call, HeldBytesReservation reservation, CallTimer timer) {
        this.dependencies = dependencies;
        this.call = call;
        this.reservation = reservation;
        this.timer = timer;
    }

    @Override
    public CompletableFuture<BufferedResponse> sendToUpstream() {
        return startTracked(new UpstreamDispatch(dependencies, call, reservation, timer)::start);
    }

    @Override
    public CompletableFuture<BufferedResponse> forwardToDaemon(UpstreamId callerAddress) {
        long now = dependencies.now();
        long remainingNanos = call.deadlineNanos() - now;
        if (remainingNanos <= 0) {
            return CompletableFuture.failedFuture(deadlineExceeded(Outcome.NOT_RUN));
        }
        return startTracked(() -> forward(callerAddress, now, remainingNanos));
    }

    private CompletableFuture<BufferedResponse> forward(UpstreamId callerAddress, long now, long remainingNanos) {
        BufferedRequest request = call.request()
                .withHeaders(ForwardedHeaders.toDaemon(
                        call.request().headers(), dependencies.ownAddress().toString(), remainingNanos));
        timer.startWaiting(now);
        CompletableFuture<BufferedResponse> exchangeFuture = dependencies
                .client()
                .sendToDaemon(
                        callerAddress, request, call.destination().service().answerLimitBytes(), reservation);
        CompletableFuture<BufferedResponse> responseFuture = exchangeFuture.handle((response, failure) -> {
            timer.stopWaiting(dependencies.now());
            return failure == null ? response : throwRefusal(failure);
        });
        return completeByDeadline(responseFuture, exchangeFuture, remainingNanos);
    }

    private static BufferedResponse throwRefusal(Throwable failure) {
        if (Refusals.unwrap(failure) instanceof SendException sendFailure) {
            throw new RefusedException(sendFailure.kind().reason(), sendFailure.getMessage());
        }
        throw Refusals.of(failure);
    }

    private CompletableFuture<BufferedResponse> completeByDeadline(
            CompletableFuture<BufferedResponse> responseFuture,
            CompletableFuture<BufferedResponse> exchangeFuture,
            long remainingNanos) {
        var deadline = dependencies
                .scheduler()
                .schedule(
                        () -> responseFuture.completeExceptionally(deadlineExceeded(Outcome.UNKNOWN)),
                        remainingNanos,
                        TimeUnit.NANOSECONDS);
        var unused = responseFuture.whenComplete((response, failure) -> {
            deadline.cancel();
            exchangeFuture.cancel(false);
        });
        return responseFuture;
    }

    private static RefusedException deadlineExceeded(Outcome outcome) {
        return new RefusedException(
                RefusalReason.DEADLINE_EXCEEDED, outcome, "no response from the other daemon within the deadline");
    }

    /**
     * Starts a dispatch that holds its own reference to the reservation and is counted as in progress itself, since it may
     * outlive the call of its caller.
     */
    private CompletableFuture<BufferedResponse> startTracked(Supplier<CompletableFuture<BufferedResponse>> start) {
        reservation.retain();
        dependencies.callsInProgress().beginDispatch();
        CompletableFuture<BufferedResponse> dispatch = start.get();
        var unused = dispatch.whenComplete((response, failure) -> {
            reservation.release();
            dependencies.callsInProgress().finish();
        });
        return dispatch;
    }
}
