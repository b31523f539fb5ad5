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

/** One call from its request head to the end of its answer. */
final class CallRun {
    /** A dispatch ends at the deadline by itself and then knows the outcome; this bound is for everything else. */
    private static final long DEADLINE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** A fifth of the time that callers usually have. */
    private static final long START_WAIT_MILLIS = 400;

    private static final Duration START_RETRY_AFTER = Duration.ofMillis(300);

    private final CallPath path;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final RequestHead head;
    private final HeldReservation reservation;
    private final CallTimes times;
    private final CallRecord record;
    private final CallerWatch callerWatch;
    private final AtomicBoolean answered = new AtomicBoolean();
    private final CompletableFuture<HeldAnswer> answer = new CompletableFuture<>();
    private volatile String serviceName = "";
    /** Claimed by the guard or by the deadline: no dispatch may begin after "not run" was told. */
    private final AtomicBoolean claimed = new AtomicBoolean();

    private volatile boolean handedToGuard;

    CallRun(CallPath path, Request request, Response response, Callback callback) {
        this.path = path;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.head = new RequestHead(request);
        this.callerWatch = new CallerWatch(request);
        this.reservation = path.heldBytes().open();
        this.times = new CallTimes(path.now());
        this.record = new CallRecord(times.arrivalNanos());
    }

    void start() {
        request.addIdleTimeoutListener(timeout -> answered.get());
        request.addFailureListener(failure -> answer.cancel(false));
        var unused = answer.whenComplete((held, failure) -> end(held, failure));
        if (path.started().isDone()) {
            tryAdmit();
        } else {
            admitWhenStarted();
        }
    }

    /** A daemon that has just started knows its services within moments, sooner than the caller could come back. */
    private void admitWhenStarted() {
        RefusedException refusal = new RefusedException(
                        RefusalReason.NO_CONFIGURATION, "this daemon has read no services text yet")
                .withRetryAfter(START_RETRY_AFTER);
        Scheduler.Task limit = path.scheduler()
                .schedule(() -> answer.completeExceptionally(refusal), START_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        var unused = path.started()
                .thenRunAsync(
                        () -> {
                            if (limit.cancel() && !answer.isDone()) {
                                tryAdmit();
                            }
                        },
                        request.getComponents().getExecutor());
    }

    private void tryAdmit() {
        try {
            admit();
        } catch (RefusedException refused) {
            answer.completeExceptionally(refused);
        }
    }

    private void admit() {
        head.check();
        CallTarget target = target(head.host());
        serviceName = target.service().name();
        record.targeted(target.route().map(Route::name).orElse(""), serviceName);
        CallContext context = head.context();
        checkCaller(target.service(), context);
        long deadlineNanos = deadlineNanos(target);
        Scheduler.Task deadline = path.scheduler()
                .schedule(this::expire, deadlineNanos + DEADLINE_GRACE_NANOS - path.now(), TimeUnit.NANOSECONDS);
        times.waiting(path.now());
        CompletableFuture<ByteBuffer> body = RequestBodyReader.read(request, path.requestLimitBytes(), reservation);
        CompletableFuture<HeldAnswer> guarded = body.thenCompose(whole -> {
            times.proceeding(path.now());
            return guard(new Call(
                    target,
                    held(whole),
                    context,
                    deadlineNanos,
                    targetNanos(target, deadlineNanos),
                    idempotent(target),
                    target.attempts(context),
                    head.forwardedBy(),
                    record));
        });
        link(guarded, deadline);
    }

    private void link(CompletableFuture<HeldAnswer> guarded, Scheduler.Task deadline) {
        var unused = guarded.whenComplete((held, failure) -> {
            if (failure != null) {
                answer.completeExceptionally(failure);
            } else {
                answer.complete(held);
            }
        });
        var unusedToo = answer.whenComplete((held, failure) -> deadline.cancel());
    }

    private CallTarget target(String host) {
        double draw = ThreadLocalRandom.current().nextDouble();
        return path.registry()
                .target(host, head.path(), draw)
                .orElseThrow(() -> new RefusedException(
                        RefusalReason.UNKNOWN_SERVICE, "no service or route takes host " + host + " with this path"));
    }

    private void checkCaller(Service called, CallContext context) {
        Optional<Service> calling =
                context.callingService().flatMap(path.registry()::named).map(RegisteredService::service);
        Optional<RefusedException> refusal = CallerCheck.refusal(called, context, calling);
        if (refusal.isPresent()) {
            throw refusal.get();
        }
    }

    private long deadlineNanos(CallTarget target) {
        long allowed = target.timeLimit().toNanos();
        Optional<Long> millisLeft = head.millisLeft();
        if (millisLeft.isPresent()) {
            allowed = Math.min(allowed, TimeUnit.MILLISECONDS.toNanos(millisLeft.get()));
        }
        if (allowed <= 0) {
            throw new RefusedException(
                    RefusalReason.DEADLINE_EXCEEDED, Outcome.NOT_RUN, "the call came after its deadline");
        }
        return times.arrivalNanos() + allowed;
    }

    /** The target counts from the caller's first attempt, so it may have passed. */
    private long targetNanos(CallTarget target, long deadlineNanos) {
        long waited = head.millisLeft()
                .map(left -> path.priorWait()
                        .nanos(target.kind(), TimeUnit.MILLISECONDS.toNanos(left), times.arrivalNanos()))
                .orElse(0L);
        long targetNanos = times.arrivalNanos() + target.targetLatency().toNanos() - waited;
        return Math.min(deadlineNanos, targetNanos);
    }

    private HeldRequest held(ByteBuffer body) {
        return new HeldRequest(
                request.getMethod(),
                head.target(),
                EndToEndHeaders.of(request.getHeaders()),
                body,
                head.framedBody() || body.hasRemaining());
    }

    private boolean idempotent(CallTarget target) {
        return target.route().map(Route::idempotent).orElseGet(() -> idempotent(target.service()));
    }

    private boolean idempotent(Service service) {
        return head.unambiguousPath()
                .map(plain -> service.idempotent(request.getMethod(), plain))
                .orElseGet(() -> service.idempotentMethods().contains(request.getMethod()));
    }

    private CompletableFuture<HeldAnswer> guard(Call call) {
        if (answer.isDone() || !claimed.compareAndSet(false, true)) {
            return CompletableFuture.failedFuture(
                    new RefusedException(RefusalReason.DEADLINE_EXCEEDED, Outcome.NOT_RUN, "the call is over"));
        }
        handedToGuard = true;
        callerWatch.start(() -> answer.cancel(false));
        if (answer.isDone()) {
            callerWatch.stop();
        }
        CompletableFuture<HeldAnswer> guarded =
                path.guard().handle(call, new CallSender(path, call, reservation, times));
        var unused = answer.whenComplete((held, failure) -> guarded.cancel(false));
        return guarded;
    }

    private void expire() {
        Outcome outcome = claimed.compareAndSet(false, true) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        answer.completeExceptionally(
                new RefusedException(RefusalReason.DEADLINE_EXCEEDED, outcome, "no answer within the deadline"));
    }

    private void end(HeldAnswer held, Throwable failure) {
        answered.set(true);
        callerWatch.stop();
        HeldAnswer last = failure == null ? held : path.ownAnswers().apply(OwnAnswers.of(refusal(failure)));
        CallEnd end = CallEnd.of(last);
        // Where a malformed request ends is uncertain, so nothing after it is read as a request.
        boolean malformed =
                end.reason().filter(RefusalReason.MALFORMED_REQUEST::equals).isPresent();
        if (malformed || path.callsInProgress().draining()) {
            last = last.withHeader("Connection", "close");
        }
        end.reason().ifPresent(path.metrics()::refused);
        path.metrics().callEnded(serviceName, end.outcome(), times.ownNanos(path.now()));
        record.ended(last.status(), end.label(), path.now());
        path.log().ended(request.getHeaders(), record);
        Callback done = Callback.from(callback, this::leave);
        try {
            AnswerWriter.write(last, request, response, done);
        } catch (RuntimeException e) {
            LogEvent.CALL_FAULT.error(e, String.valueOf(e));
            done.failed(e);
        }
    }

    private RefusedException refusal(Throwable failure) {
        RefusedException refused = Refusals.of(failure);
        return handedToGuard ? refused : Refusals.beforeGuard(request.getHeaders(), refused);
    }

    private void leave() {
        reservation.release();
        path.callsInProgress().leave();
    }
}
