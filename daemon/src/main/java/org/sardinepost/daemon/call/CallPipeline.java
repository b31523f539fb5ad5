package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.sardinepost.daemon.http.RequestHeadParser;

/**
 * Dispatches the idempotent requests that a caller sends ahead on one connection, without waiting for the responses to its
 * earlier requests.
 *
 * <p>The HTTP server still handles the requests one after the other and writes the responses in their order. A request
 * that has a body, closes the connection or is not idempotent waits for its turn, and so do those after it: it may only
 * run if the responses before it leave the connection open. Thread-safe.
 */
final class CallPipeline {
    /** Bounds the upstream slots that one connection can occupy. */
    private static final int MAX_PIPELINED_CALLS = 8;

    /**
     * The requests that were read ahead. Without a call for a request that has to wait for its turn, which is always the last
     * one, since it may have a body, and for one whose call was recalled.
     */
    private final Deque<PipelineTurn> turns = new ArrayDeque<>();

    private final ConnectionAccount account;
    private final BooleanSupplier mayWorkAhead;
    private boolean ended;

    /**
     * Creates a pipeline without calls.
     *
     * @param account the account of the connection
     * @param mayWorkAhead returns whether another request may be dispatched ahead now
     */
    CallPipeline(ConnectionAccount account, BooleanSupplier mayWorkAhead) {
        this.account = account;
        this.mayWorkAhead = mayWorkAhead;
    }

    /**
     * Dispatches the requests that were read ahead.
     *
     * @param current the head of the request that the HTTP server handles
     * @param heads supplies the heads of the following requests
     */
    void dispatch(CallDependencies dependencies, RequestHead current, Supplier<Optional<ByteBuffer>> heads) {
        if (!current.permitsPipelining() || dependencies.callsInProgress().draining()) {
            return;
        }
        // Started without the lock, since the start of a call may complete other calls.
        addCalls(dependencies, heads).forEach(PipelinedCall::start);
    }

    private synchronized List<PipelinedCall> addCalls(
            CallDependencies dependencies, Supplier<Optional<ByteBuffer>> heads) {
        List<PipelinedCall> added = new ArrayList<>();
        while (!ended && turns.size() < MAX_PIPELINED_CALLS && !waitsForTurn() && mayWorkAhead.getAsBoolean()) {
            Optional<ByteBuffer> bytes = heads.get();
            if (bytes.isEmpty()) {
                break;
            }
            Optional<PipelinedCall> call = RequestHeadParser.parse(bytes.get())
                    .map(RequestHead::new)
                    .filter(RequestHead::permitsPipelining)
                    .flatMap(head -> PipelinedCall.create(dependencies, head, account, HeadMemory.of(bytes.get())));
            turns.add(PipelineTurn.of(call));
            call.ifPresent(added::add);
        }
        return added;
    }

    private boolean waitsForTurn() {
        return !turns.isEmpty() && turns.peekLast().call().isEmpty();
    }

    /** Returns the turn of the request that the HTTP server handles now, with its call if that was dispatched ahead. */
    PipelineTurn claim(RequestHead current) {
        PipelineTurn next = poll();
        if (next.call().isEmpty() || next.call().get().head().sameAs(current)) {
            return next;
        }
        next.call().get().discard(PipelinedCall.CONNECTION_ENDED);
        close();
        return PipelineTurn.UNDISPATCHED;
    }

    private synchronized PipelineTurn poll() {
        return turns.isEmpty() ? PipelineTurn.UNDISPATCHED : turns.remove();
    }

    /** Dispatches no further calls ahead, and returns true, unless there is a call that was not claimed yet. */
    synchronized boolean endUnlessRunning() {
        boolean running = turns.stream().anyMatch(turn -> turn.call().isPresent());
        ended |= !running;
        return !running;
    }

    /** Ends the calls that were not claimed, and dispatches no further ones ahead. */
    void close() {
        List<PipelineTurn> unclaimed;
        synchronized (this) {
            ended = true;
            unclaimed = new ArrayList<>(turns);
            turns.clear();
        }
        discard(unclaimed, PipelinedCall.CONNECTION_ENDED);
    }

    /**
     * Cancels the calls that were not claimed, whose requests are dispatched again in their turn.
     *
     * @return the number of these calls
     */
    int recall() {
        List<PipelineTurn> recalled;
        synchronized (this) {
            recalled = new ArrayList<>(turns);
            turns.clear();
            recalled.forEach(turn -> turns.add(turn.recalled()));
        }
        return discard(recalled, PipelinedCall.RECALLED);
    }

    private static int discard(List<PipelineTurn> unclaimed, String outcome) {
        List<PipelinedCall> calls =
                unclaimed.stream().flatMap(turn -> turn.call().stream()).toList();
        calls.forEach(call -> call.discard(outcome));
        return calls.size();
    }
}
