package org.sardinepost.daemon.call;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.call.RetryReason;
import org.sardinepost.core.retry.FailedAttempt;
import org.sardinepost.core.retry.RetryPolicy;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;
import org.sardinepost.core.routing.UpstreamId;

/** Sends one call to upstreams of its service, with retries, until there is a response or no retry is allowed. */
final class UpstreamDispatch {
    /**
     * The number of placements on evacuated upstreams after which a call is refused. A coordinator with older knowledge
     * causes one or two; only a dispatcher that gets no updates any more causes more.
     */
    private static final int MAX_REJECTED_DISPATCHES = 8;

    private final CallDependencies dependencies;
    private final Call call;
    private final HeldBytesReservation reservation;
    private final CallTimer timer;
    private final CompletableFuture<BufferedResponse> result = new CompletableFuture<>();
    private final Set<UpstreamId> excluded = new HashSet<>();
    private int attemptsLeft;
    private int rejectedDispatches;
    private Optional<AttemptResult> lastAttempt = Optional.empty();
    private final RunState runState = new RunState();
    private volatile CompletableFuture<?> currentStage = CompletableFuture.completedFuture(null);

    UpstreamDispatch(CallDependencies dependencies, Call call, HeldBytesReservation reservation, CallTimer timer) {
        this.dependencies = dependencies;
        this.call = call;
        this.reservation = reservation;
        this.timer = timer;
        this.attemptsLeft = call.maxAttempts();
    }

    CompletableFuture<BufferedResponse> start() {
        call.destination().registered().retryBudget().recordCall(dependencies.now());
        Scheduler.Task deadline = dependencies
                .scheduler()
                .schedule(this::expire, call.deadlineNanos() - dependencies.now(), TimeUnit.NANOSECONDS);
        var unused = result.whenComplete((response, failure) -> {
            deadline.cancel();
            currentStage.cancel(false);
        });
        nextAttempt();
        return result;
    }

    private void expire() {
        result.completeExceptionally(new RefusedException(
                RefusalReason.DEADLINE_EXCEEDED, runState.preventSends(), "no response within the deadline"));
    }

    private void nextAttempt() {
        timer.startWaiting(dependencies.now());
        var unused = dependencies
                .dispatchGate()
                .whenOpen()
                .thenCompose(opened -> acquire())
                .whenComplete((dispatch, refusal) -> {
                    timer.stopWaiting(dependencies.now());
                    if (refusal != null) {
                        handleAcquireFailure(refusal);
                    } else {
                        send(dispatch);
                    }
                });
    }

    private CompletableFuture<Dispatch> acquire() {
        Optional<RefusedException> evacuated = evacuationRefusal();
        if (evacuated.isPresent()) {
            return CompletableFuture.failedFuture(evacuated.get());
        }
        DispatchRequest dispatchRequest = new DispatchRequest(
                        call.deadlineNanos(),
                        call.context().depth(),
                        call.request().body().remaining(),
                        excluded,
                        call.latencyTargetNanos(),
                        call.destination().priority(),
                        dependencies.origin().get(),
                        call.destination().routeName())
                .withSentAhead(call.sentAhead());
        CompletableFuture<Dispatch> stage =
                call.destination().registered().dispatcher().acquire(dispatchRequest, dependencies.now());
        return cancelWithResult(evacuationGuard()
                .cancelWhenUnserved(call.destination().service().name(), stage));
    }

    private EvacuationGuard evacuationGuard() {
        return dependencies.registry().evacuationGuard();
    }

    private Optional<RefusedException> evacuationRefusal() {
        return evacuationGuard().refusal(call.destination().service().name());
    }

    /** Checks the result again after storing the stage, since a result that was set before could not cancel the stage. */
    private <T> CompletableFuture<T> cancelWithResult(CompletableFuture<T> stage) {
        currentStage = stage;
        if (result.isDone()) {
            stage.cancel(false);
        }
        return stage;
    }

    /**
     * Ends the call if no dispatch can be acquired. If this was for a retry, the caller receives the result of the
     * previous attempt.
     */
    private void handleAcquireFailure(Throwable failure) {
        // The evacuation explains why there was no upstream, or why waiting for one was cancelled.
        Throwable cause = evacuationRefusal().map(Throwable.class::cast).orElseGet(() -> Refusals.unwrap(failure));
        if (cause instanceof RefusedException refusal) {
            call.record().dispatchRefused(refusal.detail());
        }
        if (lastAttempt.isPresent()) {
            finish(lastAttempt.get());
        } else {
            result.completeExceptionally(cause);
        }
    }

    private void send(Dispatch dispatch) {
        long now = dependencies.now();
        long remainingNanos = call.deadlineNanos() - now;
        boolean permitted = evacuationGuard().permits(dispatch.upstream());
        if (result.isDone() || remainingNanos <= 0 || (permitted && !runState.beginSend())) {
            dispatch.complete(DispatchResult.of(DispatchResult.Kind.CANCELLED), now);
            expire();
            return;
        }
        if (!permitted) {
            acquireAgain(dispatch, now);
            return;
        }
        BufferedRequest request = call.request()
                .withHeaders(ForwardedHeaders.toUpstream(
                        call.request().headers(),
                        call.context().nested(call.destination().service().name(), attemptsLeft),
                        dispatch.instance(),
                        remainingNanos));
        timer.startWaiting(now);
        call.record().dispatched(now);
        CompletableFuture<BufferedResponse> exchangeFuture = dependencies
                .client()
                .send(dispatch.upstream(), request, call.destination().service().answerLimitBytes(), reservation);
        var unused = cancelWithResult(exchangeFuture).whenComplete((response, failure) -> {
            timer.stopWaiting(dependencies.now());
            handleExchangeResult(dispatch, response, Refusals.unwrap(failure));
        });
    }

    /** Acquires another dispatch in place of one to an upstream that was evacuated since it was placed. */
    private void acquireAgain(Dispatch rejected, long now) {
        rejected.complete(DispatchResult.of(DispatchResult.Kind.CANCELLED), now);
        excluded.add(rejected.upstream());
        rejectedDispatches++;
        if (rejectedDispatches < MAX_REJECTED_DISPATCHES) {
            nextAttempt();
        } else {
            handleAcquireFailure(evacuationGuard().refusal());
        }
    }

    private void handleExchangeResult(Dispatch dispatch, BufferedResponse response, Throwable failure) {
        if (response == null && !(failure instanceof SendException)) {
            finishAttempt(dispatch, DispatchResult.of(abortedExchangeKind()));
            result.completeExceptionally(failure);
            return;
        }
        AttemptResult attemptResult =
                response != null ? AttemptResult.completed(response) : AttemptResult.failed((SendException) failure);
        runState.endSend(attemptResult.notRun());
        finishAttempt(dispatch, attemptResult.toDispatchResult());
        attemptsLeft--;
        if (mayRetry(attemptResult)) {
            excluded.add(dispatch.upstream());
            lastAttempt = Optional.of(attemptResult);
            nextAttempt();
        } else {
            finish(attemptResult);
        }
    }

    private void finishAttempt(Dispatch dispatch, DispatchResult dispatchResult) {
        long now = dependencies.now();
        call.record().attemptEnded(dispatch.upstream(), dispatchResult, now);
        dispatch.complete(dispatchResult, now);
    }

    /**
     * Returns the kind of result of an aborted exchange. The upstream counts as failed if it missed the deadline, but
     * not if the caller disconnected.
     */
    private DispatchResult.Kind abortedExchangeKind() {
        return call.deadlineNanos() - dependencies.now() <= 0
                ? DispatchResult.Kind.FAILED
                : DispatchResult.Kind.CANCELLED;
    }

    private boolean mayRetry(AttemptResult attemptResult) {
        Optional<RetryReason> reason = attemptResult.retryReason(call.idempotent());
        if (reason.isEmpty() || result.isDone()) {
            return false;
        }
        FailedAttempt failedAttempt =
                new FailedAttempt(call.idempotent(), attemptResult.notRun(), attemptsLeft, call.deadlineNanos());
        if (!new RetryPolicy(call.destination().registered().retryBudget()).retry(failedAttempt, dependencies.now())) {
            return false;
        }
        dependencies.metrics().retried(reason.get());
        return true;
    }

    private void finish(AttemptResult attemptResult) {
        Optional<BufferedResponse> response = attemptResult.responseForCaller();
        if (response.isPresent()) {
            result.complete(ForwardedHeaders.fromUpstream(response.get()));
        } else {
            result.completeExceptionally(attemptResult.refusal(runState.mayHaveRun()));
        }
    }
}
