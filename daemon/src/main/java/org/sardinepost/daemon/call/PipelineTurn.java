package org.sardinepost.daemon.call;

import java.util.Optional;

/**
 * What is known of a request that was read ahead, when its turn comes.
 *
 * @param call the call that was dispatched ahead; empty if the request has to be dispatched in its turn
 * @param mayHaveRun whether an earlier dispatch of the request was cancelled, so that a refusal cannot promise that it did
 *     not run
 */
record PipelineTurn(Optional<PipelinedCall> call, boolean mayHaveRun) {
    /** The turn of a request that was not dispatched ahead. */
    static final PipelineTurn UNDISPATCHED = new PipelineTurn(Optional.empty(), false);

    static PipelineTurn of(Optional<PipelinedCall> call) {
        return call.isPresent() ? new PipelineTurn(call, false) : UNDISPATCHED;
    }

    /** Returns the turn after the call was cancelled. */
    PipelineTurn recalled() {
        return new PipelineTurn(Optional.empty(), mayHaveRun || call.isPresent());
    }
}
