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
    /** The outcome on the log line of a call whose connection ended before its turn. */
    static final String CONNECTION_ENDED = "connection-ended";

    /** The outcome on the log line of a call whose client did not read; its request is dispatched again in its turn. */
    static final String RECALLED = "recalled";

    private final CallDependencies dependencies;
    private final RequestHead head;
    private final CallTerms terms;
    private final HeldBytesReservation reservation;
    private final CallTimer timer;
    private final CallRecord record;
    private final CompletableFuture<BufferedResponse> response = new CompletableFuture<>();

    private PipelinedCall(
            CallDependencies dependencies,
            RequestHead head,
            CallTerms terms,
            HeldBytesReservation reservation,
            long arrivalNanos) {
        this.dependencies = dependencies;
        this.head = head;
        this.terms = terms;
        this.reservation = reservation;
        this.timer = new CallTimer(arrivalNanos);
        this.record = new CallRecord(arrivalNanos, dependencies.registry().textVersion());
        record.setTarget(terms.destination().routeName(), terms.serviceName());
    }

    /** Returns the call of a request without a body; empty if the request is not idempotent or will be refused. */
    static Optional<PipelinedCall> create(
            CallDependencies dependencies, RequestHead head, ConnectionAccount account, long headBytes) {
        long now = dependencies.now();
        try {
            CallDestination destination = CallTerms.destination(dependencies, head);
            CallTerms terms = CallTerms.of(dependencies, head, destination, now);
            if (!terms.idempotent() || !dependencies.callsInProgress().tryBegin()) {
                return Optional.empty();
            }
            HeldBytesReservation reservation = dependencies.heldBytes().openReservation(account);
            reservation.addForCall(headBytes);
            return Optional.of(new PipelinedCall(dependencies, head, terms, reservation, now));
        } catch (RefusedException e) {
            // The request is refused in its turn.
            return Optional.empty();
        }
    }

    void start() {
        if (response.isDone()) {
            return;
        }
        CompletableFuture<BufferedResponse> dispatched;
        try {
            Call call = terms.call(BufferedRequest.withoutBody(head), true, record);
            dispatched = dependencies.guard().handle(call, new CallSender(dependencies, call, reservation, timer));
        } catch (RuntimeException | Error e) {
            response.completeExceptionally(e);
            return;
        }
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

    /** Ends a call that nobody will claim. */
    void discard(String outcome) {
        response.cancel(false);
        record.ended(0, outcome, dependencies.now());
        dependencies.callLog().logCall(head.headers(), record);
        reservation.release();
        dependencies.callsInProgress().finish();
    }
}
