package org.sardinepost.core.token;

import org.sardinepost.core.call.RefusedException;

/** How a dispatch under a token ended, for its sender and for the callers that joined it. */
public sealed interface TokenOutcome {
    /** An upstream gave this whole answer. */
    record Answered(StoredAnswer answer) implements TokenOutcome {}

    /**
     * No upstream started the request.
     *
     * @param refusal why it did not run
     * @param renewed the token for a fresh dispatch of the same request
     */
    record NotRun(RefusedException refusal, IdempotencyToken renewed) implements TokenOutcome {}

    /** The request may or may not have run, and is not dispatched again. */
    record Unknown(RefusedException refusal) implements TokenOutcome {}
}
