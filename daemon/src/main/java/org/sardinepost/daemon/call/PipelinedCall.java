package org.sardinepost.daemon.call;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.daemon.log.CallRecord;

/**
 * A call that was dispatched while its caller still waits for the responses to earlier requests of the connection.
 *
 * <p>The HTTP server later hands the request to an {@link ActiveCall}, which claims this call and waits for its response.
 * The call counts as in progress until then, so that a planned stop waits for it.
 */
final class PipelinedCall {
    private final CallDependencies dependencies;
    private final RequestHead head;
    private final CallTerms terms;
    private final HeldBytesReservation reservation;
    private final CallTimer timer;
    private final CallRecord record;
    private final CompletableFuture<BufferedResponse> response = new CompletableFuture<>();

    private PipelinedCall(CallDependencies dependencies, RequestHead head, CallTerms terms, long arrivalNanos) {
        this.dependencies = dependencies;
        this.head = head;
        this.terms = terms;
        this.reservation = dependencies.heldBytes().openReservation();
        this.timer = new CallTimer(arrivalNanos);
        this.record = new CallRecord(arrivalNanos);
        record.setTarget(terms.destination().routeName(), terms.serviceName());
    }

    /** Returns the call of a request without a body; empty if the request is not idempotent or will be refused. */
    static Optional<PipelinedCall> create(CallDependencies dependencies, RequestHead head) {
        long now = dependencies.now();
        try {
            CallDestination destination = CallTerms.destination(dependencies, head);
            CallTerms terms = CallTerms.of(dependencies, head, destination, now);
            return terms.idempotent() && dependencies.callsInProgress().tryBegin()
                    ? Optional.of(new PipelinedCall(dependencies, head, terms, now))
                    : Optional.empty();
        } catch (RefusedException e) {
            // The request is refused in its turn.
            return Optional.empty();
        }
    }

    void start() {
        if (response.isDone()) {
            return;
        }
        Call call = terms.call(BufferedRequest.withoutBody(head), record);
        CompletableFuture<BufferedResponse> dispatched =
                dependencies.guard().handle(call, new CallSender(dependencies, call, reservation, timer));
        var unused = dispatched.whenComplete((received, failure) -> {
            if (failure != null) {
                response.completeExceptionally(failure);
            } else {
                response.complete(received);
            }
        });
        var unusedToo = response.whenComplete((received, failure) -> dispatched.cancel(false));
    }

    RequestHead head() {
        return head;
    }

    CallTerms terms() {
        return terms;
    }

    HeldBytesReservation reservation() {
        return reservation;
    }

    CallTimer timer() {
        return timer;
    }

    CallRecord record() {
        return record;
    }

    CompletableFuture<BufferedResponse> response() {
        return response;
    }

    /** Ends a call that nobody will claim, because its connection ended first. */
    void discard() {
        response.cancel(false);
        record.ended(0, "connection-ended", dependencies.now());
        dependencies.callLog().logCall(head.headers(), record);
        reservation.release();
        dependencies.callsInProgress().finish();
    }
}
